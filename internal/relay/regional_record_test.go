package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/ledger"
	"github.com/mintpulley/mintpulley/internal/residency"
)

// regionalLedger is a region's ledger that may not know a turn's chain.
type regionalLedger struct {
	fakeLedger
	// knowsNoChain: a turn is recorded only with its chain. Of the questions for a turn,
	// which are counted, one is not answered.
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

// expectBoundAnswer carries a kept turn that is bound to a region, and whose caller waits for
// five seconds, to its end.
func expectBoundAnswer(t *testing.T, regional *regionalLedger, hasDaemons func() bool, previous string) {
	t.Helper()
	h, _, call := newRecording(t, 0)
	common := &regionalLedger{}
	h.relay.Ledger = &residency.Ledger{
		Common: common, Regions: []string{"north"}, Logger: h.relay.Logger,
		Regional:   func(string) (residency.Service, bool) { return regional, true },
		HasDaemons: func(string) bool { return hasDaemons() },
	}
	call.Route.AllowedRegions = []string{"north"}
	call.Program.Previous = previous
	if got := h.serve(call); !got.ended {
		t.Errorf("an answer that was ready was broken off after %s, and its caller waited", time.Since(call.Received))
	}
}

// TestAnswerIsReadyBeforeADaemonOfItsRegionIsKnown: the daemons of a small region are
// replaced one after another, and for a moment none of them is known to live.
func TestAnswerIsReadyBeforeADaemonOfItsRegionIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		back := time.Now().Add(time.Second)
		expectBoundAnswer(t, &regionalLedger{}, func() bool { return time.Now().After(back) }, "")
	})
}

// TestAnswerIsReadyWhileItsChainIsNotReached: the turn before is kept in another shard, which
// moves.
func TestAnswerIsReadyWhileItsChainIsNotReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const afterBegin = 2 // the first question is for the history
		expectBoundAnswer(t, &regionalLedger{knowsNoChain: true, unanswered: afterBegin}, func() bool { return true }, "before")
	})
}
