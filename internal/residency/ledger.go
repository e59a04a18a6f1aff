package residency

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/ledger"
)

const (
	// settleTimeout bounds the settling of a turn's budget after its text is on record.
	settleTimeout = 20 * time.Second
	// endPause separates the first tries to end a turn: a daemon of its region is heard of,
	// or a shard has a holder again, within some tenths of a second. It doubles up to
	// longestEndPause, as every try may ask all regions.
	endPause        = 150 * time.Millisecond
	longestEndPause = 600 * time.Millisecond
)

// errNoHome: no daemon of this fleet is in a region that may keep the turn's text.
var errNoHome = eris.Wrap(ledger.ErrUnavailable, "residency: no daemon is in an allowed region")

// Service is a ledger whose shards some daemons hold; ledger.Service is one.
type Service interface {
	Begin(ctx context.Context, turn ledger.Turn) (ledger.Grant, error)
	Abandon(turn ledger.Turn)
	// End settles a turn. It tries until the outcome is durable or ctx ends, or fails
	// with ErrUnknownTurn if the turn is to be kept and its chain is gone.
	End(ctx context.Context, outcome ledger.Outcome) error
	// Find returns a turn of a program with its whole chain as one turn. ErrUnknownTurn
	// means that no shard keeps it.
	Find(ctx context.Context, program, turn string) (*ledger.KeptTurn, error)
}

// Ledger keeps the budgets of all programs in the common ledger, whose shards any daemon
// may hold, and the text of bound turns in a ledger of one of their regions, whose shards
// only daemons of that region hold. The text of other turns is in the common ledger. It is
// safe for concurrent use.
type Ledger struct {
	// Common is the ledger of all daemons.
	Common Service
	// Regional returns the ledger of a region, false if there is none.
	Regional func(region string) (Service, bool)
	// Regions are those that have a ledger; none in a fleet of one region.
	Regions []string
	// HasDaemons tells whether any daemon lives in a region, as far as is known.
	HasDaemons func(region string) bool
	// InUse tells whether regional ledgers may keep turns. An error, which wraps
	// ErrUnavailable, means that this is not known.
	RegionalInUse func(ctx context.Context) (bool, error)
	Logger        zerolog.Logger

	// settling counts budgets that are settled in the background.
	settling sync.WaitGroup
}

// Begin implements relay.Ledger.
func (l *Ledger) Begin(ctx context.Context, turn ledger.Turn) (ledger.Grant, error) {
	if l.isKeptApart(turn.Regions) {
		return l.beginBound(ctx, turn)
	}
	return l.beginUnbound(ctx, turn)
}

// beginUnbound begins a turn that is not bound. The one before it may have been.
func (l *Ledger) beginUnbound(ctx context.Context, turn ledger.Turn) (ledger.Grant, error) {
	grant, err := l.Common.Begin(ctx, turn)
	if !errors.Is(err, ledger.ErrUnknownTurn) {
		return grant, err
	}
	if turn.Imported, err = l.findUnbound(ctx, turn.Program, turn.Previous); err != nil {
		return ledger.Grant{}, err
	}
	return l.Common.Begin(ctx, turn)
}

// beginBound begins a bound turn. It reads the history before it reserves tokens: a turn
// whose previous one is not known reserves none.
func (l *Ledger) beginBound(ctx context.Context, turn ledger.Turn) (ledger.Grant, error) {
	var history []byte
	if turn.Previous != "" {
		found, err := l.findBound(ctx, turn.Program, turn.Previous, turn.Regions)
		if err != nil {
			return ledger.Grant{}, err
		}
		history = slices.Concat(found.Input, found.Output)
	}
	reserved := turn
	reserved.Previous, reserved.Imported = "", nil
	grant, err := l.Common.Begin(ctx, reserved)
	grant.History = history
	return grant, err
}

// Abandon implements relay.Ledger.
func (l *Ledger) Abandon(turn ledger.Turn) { l.Common.Abandon(turn) }

// End implements relay.Ledger, under the contract of Service: it tries until the outcome
// is durable or ctx ends, since the caller of a whole answer waits for it. The text of a
// bound turn is on record when End returns without an error; its budget is settled in the
// background, as until then its reservation counts.
func (l *Ledger) End(ctx context.Context, outcome ledger.Outcome) error {
	if outcome.Kept == nil {
		return l.Common.End(ctx, outcome)
	}
	if !l.isKeptApart(outcome.Regions) {
		return untilEnded(ctx, func() error { return l.endUnbound(ctx, &outcome) })
	}
	text := outcome
	text.UsedTokens, text.Instance = 0, ""
	if err := untilEnded(ctx, func() error { return l.recordText(ctx, &text) }); err != nil {
		return err
	}
	outcome.Kept = nil
	l.settling.Go(func() { l.settle(outcome) })
	return nil
}

// untilEnded tries to end a turn until that succeeds, is refused for good, or ctx ends.
func untilEnded(ctx context.Context, try func() error) error {
	for pause := endPause; ; pause = min(2*pause, longestEndPause) {
		err := try()
		if err == nil || errors.Is(err, ledger.ErrUnknownTurn) {
			return err
		}
		clock.Sleep(ctx, pause)
		if ctx.Err() != nil {
			return err
		}
	}
}

// recordText tries to put the text of a bound turn on record in its home.
func (l *Ledger) recordText(ctx context.Context, text *ledger.Outcome) error {
	home, _, err := l.home(text.Program, text.Regions)
	if err != nil {
		return err
	}
	return endWithChain(ctx, home, text, func() (*ledger.KeptTurn, error) {
		return l.findBound(ctx, text.Program, text.Kept.Previous, text.Regions)
	})
}

// endWithChain tries to end a turn at a keeper. One that does not keep the turn before gets
// it with its chain, which the outcome has from then on: it is found once.
func endWithChain(ctx context.Context, keeper Service, outcome *ledger.Outcome, find func() (*ledger.KeptTurn, error)) error {
	err := keeper.End(ctx, *outcome)
	if outcome.Imported != nil || !errors.Is(err, ledger.ErrUnknownTurn) {
		return err
	}
	if outcome.Imported, err = find(); err != nil {
		return err
	}
	return keeper.End(ctx, *outcome)
}

// settle settles the budget of a turn whose text is on record.
func (l *Ledger) settle(outcome ledger.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := l.Common.End(ctx, outcome); err != nil {
		l.Logger.Warn().Err(err).Str("request", outcome.Turn).Msg("Turn not settled. Its reservation stays spent.")
	}
}

// endUnbound tries to end a kept turn that is not bound. The one before it may have been.
func (l *Ledger) endUnbound(ctx context.Context, outcome *ledger.Outcome) error {
	return endWithChain(ctx, l.Common, outcome, func() (*ledger.KeptTurn, error) {
		return l.findUnbound(ctx, outcome.Program, outcome.Kept.Previous)
	})
}

// isKeptApart tells whether the text of turns that are bound to regions must not go to
// the common ledger.
func (l *Ledger) isKeptApart(regions []string) bool { return regions != nil && len(l.Regions) > 0 }

// home returns the ledger that keeps the text of a program's next turn: that of the
// region which comes first by rendezvous hashing among those in which daemons live.
// Daemons that disagree on that keep the turns of a program in several regions, where
// findBound finds them.
func (l *Ledger) home(program string, regions []string) (Service, string, error) {
	best, highest := "", uint64(0)
	for _, region := range regions {
		if !slices.Contains(l.Regions, region) || !l.HasDaemons(region) {
			continue
		}
		if hash := xxhash.Sum64String(region + "/" + program); best == "" || hash > highest {
			best, highest = region, hash
		}
	}
	home, known := l.Regional(best)
	if best == "" || !known {
		return nil, "", errNoHome
	}
	return home, best, nil
}

// findBound finds a turn that a bound one goes on from: in its home, or wherever the
// operators let it be kept before.
func (l *Ledger) findBound(ctx context.Context, program, turn string, regions []string) (*ledger.KeptTurn, error) {
	home, region, err := l.home(program, regions)
	if err != nil {
		return nil, err
	}
	found, err := home.Find(ctx, program, turn)
	if !errors.Is(err, ledger.ErrUnknownTurn) {
		return found, err
	}
	others := slices.DeleteFunc(slices.Clone(l.Regions), func(other string) bool { return other == region })
	found, err = l.find(ctx, program, turn, others)
	if !errors.Is(err, ledger.ErrUnknownTurn) {
		return found, err
	}
	return l.Common.Find(ctx, program, turn)
}

// findUnbound finds a turn that the common ledger does not keep: it may have been bound.
func (l *Ledger) findUnbound(ctx context.Context, program, turn string) (*ledger.KeptTurn, error) {
	used, err := l.RegionalInUse(ctx)
	if err != nil {
		return nil, err
	}
	if !used {
		return nil, ledger.ErrUnknownTurn
	}
	return l.find(ctx, program, turn, l.Regions)
}

// find finds a turn in the ledgers of some regions. ErrUnknownTurn means that none of
// them keeps it; one that can not be asked may.
func (l *Ledger) find(ctx context.Context, program, turn string, regions []string) (*ledger.KeptTurn, error) {
	failure := error(ledger.ErrUnknownTurn)
	for _, region := range regions {
		keeper, known := l.Regional(region)
		if !known {
			continue
		}
		found, err := keeper.Find(ctx, program, turn)
		if err == nil {
			return found, nil
		}
		if !errors.Is(err, ledger.ErrUnknownTurn) {
			failure = err
		}
	}
	return nil, failure
}

// Wait waits until what goes on in the background is done, or ctx ends.
func (l *Ledger) Wait(ctx context.Context) { clock.WaitFor(ctx, &l.settling) }
