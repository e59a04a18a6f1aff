// Package loopbacktest provides tests with addresses on this machine.
package loopbacktest

import (
	"testing"

	"github.com/mintpulley/mintpulley/internal/loopback"
)

// FreeAddress returns an "IP:PORT" on which nothing listens; see loopback.FreeAddress. It fails the
// test if there is none.
func FreeAddress(t testing.TB) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}
