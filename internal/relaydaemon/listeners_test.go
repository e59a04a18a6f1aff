package relaydaemon

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/loopback/loopbacktest"
)

func TestAddressThatIsNotTheMachinesYetIsTriedAgain(t *testing.T) {
	settings := Settings{FrontAddress: loopbacktest.FreeAddress(t), ReadyAddress: loopbacktest.FreeAddress(t), StartSeconds: 60}
	settings.PeerAddress = "192.0.2.1:7000" // of a network for documentation
	pauses := 0
	_, err := OpenListeners(settings, zerolog.Nop(), func(time.Duration) bool {
		pauses++
		return pauses < 3
	})
	if !errors.Is(err, ErrInterrupted) || pauses != 3 {
		t.Errorf("got %v after %d pauses, want three and then ErrInterrupted", err, pauses)
	}
}

func TestAddressThatCanNeverBeOpenedIsNotTriedAgain(t *testing.T) {
	settings := Settings{FrontAddress: "no address", StartSeconds: 60}
	_, err := OpenListeners(settings, zerolog.Nop(), func(time.Duration) bool {
		t.Error("the start pauses")
		return false
	})
	if !errors.Is(err, ErrAddress) || !strings.Contains(err.Error(), "front_address") {
		t.Errorf("got %v, want ErrAddress with the field's name", err)
	}
}
