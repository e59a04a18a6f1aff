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
	// endRetryPause is the pause between tries to settle a turn; it doubles up to
	// maxEndRetryPause.
	endRetryPause    = 150 * time.Millisecond
	maxEndRetryPause = 600 * time.Millisecond
)

// Begin reserves a turn's tokens and returns the history before it. The result is of no use
// after the deadline of ctx: a turn that waits for a store which is unlikely to be back by
// then is given up. After ErrUnavailable, an UnavailableError, it is not known whether the
// tokens are reserved: the same turn may be tried again, which reserves them once, or must
// be abandoned.
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
			s.cacheText(turn.Previous, response.Grant.History)
		}
		return response.Grant, nil
	case resultBudgetSpent:
		return Grant{}, ErrBudgetSpent
	case resultUnknownTurn:
		return Grant{}, ErrUnknownTurn
	case resultCrowded:
		return Grant{}, &StoreCapacityError{Shard: shard, RetryAfter: time.Duration(response.RetryAfterMS) * time.Millisecond}
	}
	return Grant{}, s.unavailableError(shard, response.Result)
}

// cacheText caches the text of a chain for the next turn, unless the daemon is not allowed
// to keep text.
func (s *Service) cacheText(turn string, text []byte) {
	if !s.ClientOnly {
		s.texts.put(turn, slices.Clip(text))
	}
}

// Abandon ends a turn for which it is not known whether it was reserved, so that it cannot
// be reserved later either. It returns at once.
func (s *Service) Abandon(turn Turn) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), endedTurnTTL/2)
		defer cancel()
		_ = s.End(ctx, Outcome{Turn: turn.ID, Program: turn.Program}) // if it fails, the reservation stays spent
	}()
}

// End settles a turn. It tries until the outcome is durable or ctx ends, or fails with
// ErrUnknownTurn if the turn is to be kept and its chain is gone.
func (s *Service) End(ctx context.Context, outcome Outcome) error {
	shard := s.shardOf(outcome.Program)
	if outcome.Kept == nil {
		s.delayClaim(ctx, shard)
	}
	for wait := endRetryPause; ; wait = min(2*wait, maxEndRetryPause) {
		asked := outcome // a holder may still have the request when the chain is added
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
			return eris.Wrapf(ErrUnavailable, "shard %d, last answer: %s", shard, response.Result)
		}
		clock.Sleep(ctx, wait)
	}
}

// claimDelay is the time over which claims that no caller waits for are spread. Otherwise
// turns that only have to be settled would make daemons read all shards of dead holders at
// once, competing with those that callers wait for.
const claimDelay = 2 * time.Second

// delayClaim waits a random time before a shard whose holder is dead is asked for.
func (s *Service) delayClaim(ctx context.Context, shard int) {
	if holder := s.known.get(shard); holder.Daemon != "" && !s.mayBeAlive(holder.Daemon) {
		clock.Sleep(ctx, rand.N(claimDelay))
	}
}
