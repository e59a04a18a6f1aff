// Package loopbacktest gives tests addresses on this machine.
package loopbacktest

import (
	"testing"

	"github.com/mintpulley/mintpulley/internal/loopback"
)

// FreeAddress returns an "IP:PORT" on loopback that nothing listens on, as
// loopback.FreeAddress does. It ends the test when there is none.
func FreeAddress(t testing.TB) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}
