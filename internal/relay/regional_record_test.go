package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/ledger"
	"github.com/mintpulley/mintpulley/internal/residency"
)

// regionalLedger simulates a region's ledger, which may not have the turns before a turn.
type regionalLedger struct {
	fakeLedger
	// knowsNoChain: a turn is stored only together with its chain of earlier turns. Calls
	// of Find are counted, and the one with number unanswered fails.
	knowsNoChain      bool
	asked, unanswered int
}

func (l *regionalLedger) End(ctx context.Context, outcome ledger.Outcome) error {
	if l.knowsNoChain && outcome.Imported == nil {
		return ledger.ErrUnknownTurn
	}
	return l.fakeLedger.End(ctx, outcome)
}

// Find implements residency.Service.
func (l *regionalLedger) Find(_ context.Context, _, turn string) (*ledger.KeptTurn, error) {
	l.asked++
	if l.asked == l.unanswered {
		return nil, ledger.ErrUnavailable
	}
	return &ledger.KeptTurn{ID: turn}, nil
}

// expectRegionalAnswer serves a kept turn that is restricted to a region, and whose caller
// waits for five seconds, and checks that it is answered.
func expectRegionalAnswer(t *testing.T, regional *regionalLedger, hasDaemons func() bool, previous string) {
	t.Helper()
	h, _, call := newRecordingHarness(t, 0)
	common := &regionalLedger{}
	h.relay.Ledger = &residency.Ledger{
		Common: common, Regions: []string{"north"}, Logger: h.relay.Logger,
		Regional:   func(string) (residency.Service, bool) { return regional, true },
		HasDaemons: func(string) bool { return hasDaemons() },
	}
	call.Route.AllowedRegions = []string{"north"}
	call.Program.Previous = previous
	if got := h.serve(call); !got.ended {
		t.Errorf("a complete answer was broken off after %s although its caller was waiting", time.Since(call.Received))
	}
}

// While the daemons of a small region are replaced one after another, none of them may be
// known for a moment.
func TestRegionalTurnIsRecordedOnceADaemonIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		back := time.Now().Add(time.Second)
		expectRegionalAnswer(t, &regionalLedger{}, func() bool { return time.Now().After(back) }, "")
	})
}

// The turn before is stored in another shard, which is moving.
func TestRegionalTurnIsRecordedOnceItsChainIsReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const afterBegin = 2 // the first Find is for the history
		expectRegionalAnswer(t, &regionalLedger{knowsNoChain: true, unanswered: afterBegin}, func() bool { return true }, "before")
	})
}
