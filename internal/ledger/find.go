package ledger

import (
	"context"

	"github.com/rotisserie/eris"
)

// Find returns a turn of a program with its whole chain merged into one turn.
// ErrUnknownTurn means that every shard confirmed that it does not keep the turn.
func (s *Service) Find(ctx context.Context, program, turn string) (*KeptTurn, error) {
	shard := s.shardOf(program)
	response := s.ask(ctx, shard, Request{Find: &Find{Turn: turn}})
	switch {
	case response.Found != nil:
		return response.Found, nil
	case response.Result != resultUnknownTurn:
		return nil, s.unavailableError(shard, response.Result)
	}
	return s.findInOtherShards(ctx, noShard, turn)
}

// noShard excludes no shard from a search.
const noShard = -1

// findInOtherShards looks for a turn in all other shards. ErrUnknownTurn means that every
// one of them confirmed that it does not keep the turn.
func (s *Service) findInOtherShards(ctx context.Context, except int, turn string) (*KeptTurn, error) {
	if found, _ := s.findAll(ctx, except, Find{Turn: turn}); found != nil {
		return found, nil
	}
	found, sure := s.findAll(ctx, except, Find{Turn: turn, Certain: true})
	switch {
	case found != nil:
		return found, nil
	case sure:
		return nil, ErrUnknownTurn
	}
	return nil, eris.Wrapf(ErrUnavailable, "turn %s: not all shards answered", turn)
}

// findAll asks all shards but one for a turn. sure means that each of them answered that it
// does not keep the turn.
func (s *Service) findAll(ctx context.Context, except int, find Find) (found *KeptTurn, sure bool) {
	responses := make(chan Response, len(s.holders))
	asked := 0
	for shard := range s.holders {
		if shard == except {
			continue
		}
		asked++
		go func() { responses <- s.ask(ctx, shard, Request{Find: &find}) }()
	}
	sure = true
	for range asked {
		response := <-responses
		if response.Found != nil {
			return response.Found, true
		}
		sure = sure && response.Result == resultUnknownTurn
	}
	return nil, sure
}
