package residency

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/ledger"
)

// emptyLedger is a ledger that has no turns.
type emptyLedger struct{ Service }

func (emptyLedger) End(context.Context, ledger.Outcome) error { return ledger.ErrUnknownTurn }

func (emptyLedger) Find(context.Context, string, string) (*ledger.KeptTurn, error) {
	return nil, ledger.ErrUnknownTurn
}

// An unknown previous turn is a permanent error. A region without daemons may get one again
// while the client waits.
func TestEndRetriesOnlyTransientErrors(t *testing.T) {
	const patience = 5 * time.Second
	for want, test := range map[error]struct {
		hasDaemons bool
		takes      time.Duration
	}{
		ledger.ErrUnknownTurn: {hasDaemons: true},
		ledger.ErrUnavailable: {takes: patience},
	} {
		synctest.Test(t, func(t *testing.T) {
			started := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			l := &Ledger{
				Common: emptyLedger{}, Regions: []string{"north"},
				Regional:   func(string) (Service, bool) { return emptyLedger{}, true },
				HasDaemons: func(string) bool { return test.hasDaemons },
			}
			err := l.End(ctx, ledger.Outcome{Regions: l.Regions, Kept: &ledger.KeptTurn{ID: "q", Previous: "before"}})
			if took := time.Since(started); !errors.Is(err, want) || took != test.takes {
				t.Errorf("%v after %s, want %v after %s", err, took, want, test.takes)
			}
		})
	}
}
