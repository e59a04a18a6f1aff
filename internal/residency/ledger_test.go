package residency

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/ledger"
)

// forgetful is a ledger that keeps no turn.
type forgetful struct{ Service }

func (forgetful) End(context.Context, ledger.Outcome) error { return ledger.ErrUnknownTurn }

func (forgetful) Find(context.Context, string, string) (*ledger.KeptTurn, error) {
	return nil, ledger.ErrUnknownTurn
}

// TestEndIsTriedUntilItIsRefusedForGood: an unknown chain stays unknown, and a region whose
// daemons are all away may have one again as long as the caller waits.
func TestEndIsTriedUntilItIsRefusedForGood(t *testing.T) {
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
				Common: forgetful{}, Regions: []string{"north"},
				Regional:   func(string) (Service, bool) { return forgetful{}, true },
				HasDaemons: func(string) bool { return test.hasDaemons },
			}
			err := l.End(ctx, ledger.Outcome{Regions: l.Regions, Kept: &ledger.KeptTurn{ID: "q", Previous: "before"}})
			if took := time.Since(started); !errors.Is(err, want) || took != test.takes {
				t.Errorf("%v after %s, want %v after %s", err, took, want, test.takes)
			}
		})
	}
}
