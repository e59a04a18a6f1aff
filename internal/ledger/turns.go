package ledger

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/clock"
)

const (
	// endPause separates tries to settle a turn; it doubles up to
	// longestEndPause.
	endPause        = 150 * time.Millisecond
	longestEndPause = 600 * time.Millisecond
)

// Begin reserves a turn's tokens and returns the history before it. The deadline
// of ctx is when that stops to be of use: a turn that waits for a store which will
// hardly be back by then is given up. After ErrUnavailable, a UnavailableError, it is not
// known whether they are reserved: the same turn may be tried again, which reserves
// them once, or must be abandoned.
func (s *Service) Begin(ctx context.Context, turn Turn) (Grant, error) {
	shard := s.shardOf(turn.Program)
	text, known := s.texts.get(turn.Previous)
	turn.HistoryKnown = known
	response := s.ask(ctx, shard, Request{Begin: &turn})
	if response.Result == resultUnknownTurn && turn.Imported == nil {
		found, err := s.findInOtherShards(ctx, shard, turn.Previous)
		if err != nil {
			return Grant{}, err
		}
		turn.Imported = found
		response = s.ask(ctx, shard, Request{Begin: &turn})
	}
	switch response.Result {
	case resultOK:
		if response.Grant.HistoryOmitted {
			response.Grant.History = text
		} else {
			s.remember(turn.Previous, response.Grant.History)
		}
		return response.Grant, nil
	case resultBudgetSpent:
		return Grant{}, ErrBudgetSpent
	case resultUnknownTurn:
		return Grant{}, ErrUnknownTurn
	case resultCrowded:
		return Grant{}, &StoreCapacityError{Shard: shard, RetryAfter: time.Duration(response.RetryAfterMS) * time.Millisecond}
	}
	return Grant{}, s.heldUp(shard, response.Result)
}

// remember keeps the text of a chain for the next turn, unless the daemon may not have
// it beyond what passes through.
func (s *Service) remember(turn string, text []byte) {
	if !s.ClientOnly {
		s.texts.put(turn, slices.Clip(text))
	}
}

// Abandon ends a turn of which it is not known whether it was reserved: it
// can not be reserved later either. It returns at once.
func (s *Service) Abandon(turn Turn) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), endedLife/2)
		defer cancel()
		_ = s.End(ctx, Outcome{Turn: turn.ID, Program: turn.Program}) // else its reservation stays spent
	}()
}

// End settles a turn. It tries until the outcome is durable or ctx ends, or
// fails with ErrUnknownTurn if the turn is to be kept and its chain is gone.
func (s *Service) End(ctx context.Context, outcome Outcome) error {
	shard := s.shardOf(outcome.Program)
	if outcome.Kept == nil {
		s.delayClaim(ctx, shard)
	}
	for wait := endPause; ; wait = min(2*wait, longestEndPause) {
		asked := outcome // a holder may still have it when the chain is added
		response := s.ask(ctx, shard, Request{End: &asked})
		switch response.Result {
		case resultOK:
			if outcome.Kept != nil && !s.ClientOnly {
				s.texts.extend(outcome.Kept)
			}
			return nil
		case resultUnknownTurn:
			chain, err := s.findInOtherShards(ctx, shard, outcome.Kept.Previous)
			if errors.Is(err, ErrUnknownTurn) {
				return err
			}
			outcome.Imported = chain
			if err == nil {
				continue
			}
		}
		if ctx.Err() != nil {
			return eris.Wrapf(ErrUnavailable, "shard %d: %s", shard, response.Result)
		}
		clock.Sleep(ctx, wait)
	}
}

// claimDelay is over what time claims are spread that nobody waits for: turns that only
// have to be settled would have all shards of holders that died read at once, beside those
// whose callers wait.
const claimDelay = 2 * time.Second

// delayClaim waits a while before a shard is asked for whose holder is dead.
func (s *Service) delayClaim(ctx context.Context, shard int) {
	if holder := s.known.get(shard); holder.Daemon != "" && !s.mayLive(holder.Daemon) {
		clock.Sleep(ctx, rand.N(claimDelay))
	}
}
