//go:build !linux

package load

import (
	"github.com/rotisserie/eris"
)

// relay is implemented on Linux only.
type relay struct{}

func startRelay([]string) (*relay, error) {
	return nil, eris.New("load: the plain relay needs Linux")
}

func (*relay) address() string { return "" }

func (*relay) close() {}

func (*relay) used() relayUse { return relayUse{} }
