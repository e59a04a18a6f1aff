package fanout

import (
	"context"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// neighbourTimeout is how long after the wait a neighbour's answer may take. The neighbour
	// answers minHoldTime after the wait at the latest. It is less than the 0.4 s after which the
	// watcher repeats the read.
	neighbourTimeout = 300 * time.Millisecond
	// maxNeighbourAge is how long before the wait a neighbour's records may have been confirmed until
	// another neighbour is asked.
	maxNeighbourAge = time.Second
	// pieceTimeout is how long the next piece may take. It covers a slow link that the neighbour's
	// other children share, and the delay of a busy machine.
	pieceTimeout = 300 * time.Millisecond
)

// readFromNeighbour requests the records from an offset on from a neighbour; false if it did not
// deliver them.
func (s *Service) readFromNeighbour(ctx context.Context, f *followed, neighbour structs.DaemonID, from int64, wait time.Duration) (readResult, bool) {
	sent := time.Now()
	request := Request{Partition: f.partition, From: from, WaitMS: wait.Milliseconds()}
	response := s.ask(ctx, neighbour, request, wait+neighbourTimeout)
	if response == nil {
		s.recordFailure(ctx, f, neighbour, outcomeSilent)
		return readResult{}, false
	}
	switch response.Result {
	case resultUnchanged:
		got := readResult{from: from, next: from, asOf: response.asOf(sent, time.Now())}
		s.Metrics.countRead(outcomeUnchanged)
		if time.Since(got.asOf) > wait+maxNeighbourAge {
			s.recordFailure(ctx, f, neighbour, outcomeStale)
		}
		s.answerAll(f.replica.apply(got, nil), f)
		return got, true
	case resultPiece:
		got, packed, delivered := s.fetch(ctx, f, neighbour, request, response, sent)
		if delivered {
			s.answerAll(f.replica.apply(got, packed), f)
		}
		return got, delivered
	}
	s.recordFailure(ctx, f, neighbour, outcomeUnable)
	return readResult{}, false
}

// fetch requests the remaining pieces of a bundle, and unpacks it. piece is the first one, and
// askedAt when it was requested.
func (s *Service) fetch(ctx context.Context, f *followed, neighbour structs.DaemonID, request Request, piece *Response, askedAt time.Time) (readResult, *bundle, bool) {
	var partial partialBundle
	for partial.add(piece, askedAt) {
		store.ProgressOf(ctx).AddBytes(len(piece.Data))
		if partial.isWhole() {
			return s.unpack(ctx, f, neighbour, request.From, &partial)
		}
		request.Bundle, request.At = partial.first.Bundle, len(partial.data)
		askedAt = time.Now()
		if piece = s.ask(ctx, neighbour, request, pieceTimeout); piece == nil {
			s.recordFailure(ctx, f, neighbour, outcomeSilent)
			return readResult{}, nil, false
		}
	}
	s.recordFailure(ctx, f, neighbour, outcomeMalformed)
	return readResult{}, nil, false
}

// unpack extracts the records from an offset on from a complete bundle.
func (s *Service) unpack(ctx context.Context, f *followed, neighbour structs.DaemonID, from int64, whole *partialBundle) (readResult, *bundle, bool) {
	packed, records, err := unpackBundle(whole.first.Bundle, whole.data)
	if err != nil || packed.from > from || packed.end <= from {
		s.recordFailure(ctx, f, neighbour, outcomeMalformed)
		return readResult{}, nil, false
	}
	records = slices.DeleteFunc(records, func(r store.Record) bool { return r.Offset < from })
	s.Metrics.countRead(outcomeDelivered)
	asOf := whole.first.asOf(whole.askedAt, time.Now())
	return readResult{records: records, from: from, next: packed.end, asOf: asOf}, packed, true
}

// recordFailure records that a neighbour did not deliver, so that it is not asked for a while. It
// does nothing if the caller canceled the read.
func (s *Service) recordFailure(ctx context.Context, f *followed, neighbour structs.DaemonID, how outcome) {
	if ctx.Err() != nil {
		return
	}
	f.neighbours.avoid(neighbour, time.Now())
	s.Metrics.countRead(how)
	s.Logger.Info().Str("neighbour", string(neighbour)).Str("space", f.partition.Space).Str("why", string(how)).
		Msg("Neighbour did not deliver the records.")
}

// ask sends a request and waits up to timeout for the answer; nil if none arrived.
func (s *Service) ask(ctx context.Context, neighbour structs.DaemonID, request Request, timeout time.Duration) *Response {
	response, _ := s.replies.Ask(ctx, timeout, func(number uint64) { // nil if no answer arrived
		request.Number = number
		s.Transport.Send(neighbour, &request)
	})
	return response
}
