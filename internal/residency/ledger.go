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
	// settleTimeout limits the settling of a turn's budget after its text is stored.
	settleTimeout = 20 * time.Second
	// endRetryDelay is the delay after the first attempt to end a turn: within some tenths
	// of a second a daemon of the region is found or a shard has a holder again. It doubles
	// up to maxEndRetryDelay, as each attempt may query all regions.
	endRetryDelay    = 150 * time.Millisecond
	maxEndRetryDelay = 600 * time.Millisecond
)

// errNoHomeRegion: no daemon of this fleet is in a region that may keep the turn's text.
var errNoHomeRegion = eris.Wrap(ledger.ErrUnavailable, "residency: no daemon is in an allowed region")

// Service is a ledger whose shards are held by some of the daemons. ledger.Service
// implements it.
type Service interface {
	Begin(ctx context.Context, turn ledger.Turn) (ledger.Grant, error)
	Abandon(turn ledger.Turn)
	// End settles a turn. It retries until the outcome is durable or ctx ends. It fails
	// with ErrUnknownTurn if the turn is to be kept and the turns before it are not in the
	// ledger.
	End(ctx context.Context, outcome ledger.Outcome) error
	// Find returns a turn of a program with all turns before it, merged into one.
	// ErrUnknownTurn means that no shard keeps it.
	Find(ctx context.Context, program, turn string) (*ledger.KeptTurn, error)
}

// Ledger keeps the budgets of all programs in the common ledger, whose shards any daemon
// may hold, and the text of restricted turns in the ledger of one of their regions, whose
// shards only daemons of that region hold. The text of other turns is in the common ledger.
// It is safe for concurrent use.
type Ledger struct {
	// Common is the ledger of all daemons.
	Common Service
	// Regional returns the ledger of a region; false if there is none.
	Regional func(region string) (Service, bool)
	// Regions lists the regions that have a ledger; empty in a fleet of one region.
	Regions []string
	// HasDaemons reports whether any daemon is known in a region.
	HasDaemons func(region string) bool
	// RegionalInUse reports whether regional ledgers may keep turns. An error, which wraps
	// ErrUnavailable, means that this is unknown.
	RegionalInUse func(ctx context.Context) (bool, error)
	Logger        zerolog.Logger

	// settling tracks the budgets that are being settled in the background.
	settling sync.WaitGroup
}

// Begin implements relay.Ledger.
func (l *Ledger) Begin(ctx context.Context, turn ledger.Turn) (ledger.Grant, error) {
	if l.isKeptRegionally(turn.Regions) {
		return l.beginRestricted(ctx, turn)
	}
	return l.beginUnrestricted(ctx, turn)
}

// beginUnrestricted begins a turn that is not restricted to regions. The previous one may
// have been.
func (l *Ledger) beginUnrestricted(ctx context.Context, turn ledger.Turn) (ledger.Grant, error) {
	grant, err := l.Common.Begin(ctx, turn)
	if !errors.Is(err, ledger.ErrUnknownTurn) {
		return grant, err
	}
	if turn.Imported, err = l.findUnrestricted(ctx, turn.Program, turn.Previous); err != nil {
		return ledger.Grant{}, err
	}
	return l.Common.Begin(ctx, turn)
}

// beginRestricted begins a restricted turn. It reads the history before it reserves tokens,
// so that none are reserved if the previous turn is unknown.
func (l *Ledger) beginRestricted(ctx context.Context, turn ledger.Turn) (ledger.Grant, error) {
	var history []byte
	if turn.Previous != "" {
		found, err := l.findRestricted(ctx, turn.Program, turn.Previous, turn.Regions)
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

// End implements relay.Ledger as described at Service.End: the client of a complete answer
// waits for it. When End returns without an error, the text of a restricted turn is stored;
// its budget is settled in the background, and its reservation counts until then.
func (l *Ledger) End(ctx context.Context, outcome ledger.Outcome) error {
	if outcome.Kept == nil {
		return l.Common.End(ctx, outcome)
	}
	if !l.isKeptRegionally(outcome.Regions) {
		return retryEnd(ctx, func() error { return l.endUnrestricted(ctx, &outcome) })
	}
	text := outcome
	text.UsedTokens, text.Instance = 0, ""
	if err := retryEnd(ctx, func() error { return l.recordText(ctx, &text) }); err != nil {
		return err
	}
	outcome.Kept = nil
	l.settling.Go(func() { l.settle(outcome) })
	return nil
}

// retryEnd attempts to end a turn until that succeeds, fails permanently, or ctx ends.
func retryEnd(ctx context.Context, try func() error) error {
	for delay := endRetryDelay; ; delay = min(2*delay, maxEndRetryDelay) {
		err := try()
		if err == nil || errors.Is(err, ledger.ErrUnknownTurn) {
			return err
		}
		clock.Sleep(ctx, delay)
		if ctx.Err() != nil {
			return err
		}
	}
}

// recordText attempts to store the text of a restricted turn in its home ledger.
func (l *Ledger) recordText(ctx context.Context, text *ledger.Outcome) error {
	home, _, err := l.homeLedger(text.Program, text.Regions)
	if err != nil {
		return err
	}
	return endWithChain(ctx, home, text, func() (*ledger.KeptTurn, error) {
		return l.findRestricted(ctx, text.Program, text.Kept.Previous, text.Regions)
	})
}

// endWithChain attempts to end a turn in a ledger. If the ledger does not have the previous
// turn, that is looked up with all turns before it and added to the outcome, once for all
// attempts.
func endWithChain(ctx context.Context, service Service, outcome *ledger.Outcome, find func() (*ledger.KeptTurn, error)) error {
	err := service.End(ctx, *outcome)
	if outcome.Imported != nil || !errors.Is(err, ledger.ErrUnknownTurn) {
		return err
	}
	if outcome.Imported, err = find(); err != nil {
		return err
	}
	return service.End(ctx, *outcome)
}

// settle settles the budget of a turn whose text is stored.
func (l *Ledger) settle(outcome ledger.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := l.Common.End(ctx, outcome); err != nil {
		l.Logger.Warn().Err(err).Str("request", outcome.Turn).Msg("Turn not settled. Its reservation stays spent.")
	}
}

// endUnrestricted attempts to end a kept turn that is not restricted to regions. The
// previous one may have been.
func (l *Ledger) endUnrestricted(ctx context.Context, outcome *ledger.Outcome) error {
	return endWithChain(ctx, l.Common, outcome, func() (*ledger.KeptTurn, error) {
		return l.findUnrestricted(ctx, outcome.Program, outcome.Kept.Previous)
	})
}

// isKeptRegionally reports whether the text of turns with these regions must not be stored
// in the common ledger.
func (l *Ledger) isKeptRegionally(regions []string) bool { return regions != nil && len(l.Regions) > 0 }

// homeLedger returns the ledger for the text of a program's next turn, and its region: the
// first by rendezvous hashing among the allowed regions with daemons. If daemons disagree
// on which these are, a program's turns end up in several regions, where findRestricted
// finds them.
func (l *Ledger) homeLedger(program string, regions []string) (Service, string, error) {
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
		return nil, "", errNoHomeRegion
	}
	return home, best, nil
}

// findRestricted looks up the previous turn of a restricted one: in its home ledger, then
// wherever the operators allowed it to be kept earlier.
func (l *Ledger) findRestricted(ctx context.Context, program, turn string, regions []string) (*ledger.KeptTurn, error) {
	home, region, err := l.homeLedger(program, regions)
	if err != nil {
		return nil, err
	}
	found, err := home.Find(ctx, program, turn)
	if !errors.Is(err, ledger.ErrUnknownTurn) {
		return found, err
	}
	others := slices.DeleteFunc(slices.Clone(l.Regions), func(other string) bool { return other == region })
	found, err = l.findInRegions(ctx, program, turn, others)
	if !errors.Is(err, ledger.ErrUnknownTurn) {
		return found, err
	}
	return l.Common.Find(ctx, program, turn)
}

// findUnrestricted looks up a turn that is not in the common ledger, as it may have been
// restricted.
func (l *Ledger) findUnrestricted(ctx context.Context, program, turn string) (*ledger.KeptTurn, error) {
	used, err := l.RegionalInUse(ctx)
	if err != nil {
		return nil, err
	}
	if !used {
		return nil, ledger.ErrUnknownTurn
	}
	return l.findInRegions(ctx, program, turn, l.Regions)
}

// findInRegions looks up a turn in the ledgers of some regions. ErrUnknownTurn means that
// none of them has it; any other error means that one of them could not be asked.
func (l *Ledger) findInRegions(ctx context.Context, program, turn string, regions []string) (*ledger.KeptTurn, error) {
	failure := error(ledger.ErrUnknownTurn)
	for _, region := range regions {
		service, known := l.Regional(region)
		if !known {
			continue
		}
		found, err := service.Find(ctx, program, turn)
		if err == nil {
			return found, nil
		}
		if !errors.Is(err, ledger.ErrUnknownTurn) {
			failure = err
		}
	}
	return nil, failure
}

// Wait waits until all budgets are settled in the background, or ctx ends.
func (l *Ledger) Wait(ctx context.Context) { clock.WaitFor(ctx, &l.settling) }
