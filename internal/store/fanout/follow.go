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
	// reads with the same wait, so its next answer is due by then, and half of the 0.4 s after
	// which the watcher repeats the read remains for the store's answer.
	neighbourTimeout = 200 * time.Millisecond
	// pieceTimeout is how long the next piece may take. It covers a slow link that the neighbour's
	// other children share, and the delay of a busy machine.
	pieceTimeout = 300 * time.Millisecond
)

// readFromNeighbour requests the records from an offset on from a neighbour; false if it did not
// deliver them.
func (s *Service) readFromNeighbour(ctx context.Context, neighbour structs.DaemonID, from int64, wait time.Duration) (readResult, bool) {
	sent := time.Now()
	request := Request{Partition: s.Partition, From: from}
	response := s.ask(ctx, neighbour, request, wait+neighbourTimeout)
	if response == nil {
		return s.recordFailure(ctx, neighbour, outcomeSilent)
	}
	switch response.Result {
	case resultUnchanged:
		got := readResult{from: from, next: from, asOf: response.asOf(sent, time.Now())}
		s.Metrics.countRead(outcomeUnchanged)
		s.apply(got, nil)
		return got, true
	case resultPiece:
		return s.fetch(ctx, neighbour, request, response, sent)
	}
	return s.recordFailure(ctx, neighbour, outcomeUnable)
}

// fetch requests the remaining pieces of a bundle. piece is the first one, and askedAt when it was
// requested.
func (s *Service) fetch(ctx context.Context, neighbour structs.DaemonID, request Request, piece *Response, askedAt time.Time) (readResult, bool) {
	var partial partialBundle
	for partial.add(piece, askedAt) {
		store.ProgressOf(ctx).AddBytes(len(piece.Data))
		if partial.isWhole() {
			return s.unpack(ctx, neighbour, request.From, &partial)
		}
		request.Bundle, request.At = partial.first.Bundle, len(partial.data)
		askedAt = time.Now()
		if piece = s.ask(ctx, neighbour, request, pieceTimeout); piece == nil {
			return s.recordFailure(ctx, neighbour, outcomeSilent)
		}
	}
	return s.recordFailure(ctx, neighbour, outcomeMalformed)
}

// unpack extracts the records from an offset on from a complete bundle.
func (s *Service) unpack(ctx context.Context, neighbour structs.DaemonID, from int64, whole *partialBundle) (readResult, bool) {
	packed, records, err := unpackBundle(whole.first.Bundle, whole.data)
	if err != nil || packed.from > from || packed.end <= from {
		return s.recordFailure(ctx, neighbour, outcomeMalformed)
	}
	records = slices.DeleteFunc(records, func(r store.Record) bool { return r.Offset < from })
	got := readResult{records: records, from: from, next: packed.end, asOf: whole.first.asOf(whole.askedAt, time.Now())}
	s.Metrics.countRead(outcomeDelivered)
	s.apply(got, packed)
	return got, true
}

// recordFailure records that a neighbour did not deliver, so that it is not asked for a while. It
// does nothing if the caller canceled the read.
func (s *Service) recordFailure(ctx context.Context, neighbour structs.DaemonID, how outcome) (readResult, bool) {
	if ctx.Err() == nil {
		s.neighbours.avoid(neighbour, time.Now())
		s.Metrics.countRead(how)
		s.Logger.Info().Str("neighbour", string(neighbour)).Str("why", string(how)).Msg("Neighbour did not deliver the records. Reading from the store.")
	}
	return readResult{}, false
}

// ask sends a request and waits up to timeout for the answer; nil if none arrived.
func (s *Service) ask(ctx context.Context, neighbour structs.DaemonID, request Request, timeout time.Duration) *Response {
	response, _ := s.replies.Ask(ctx, timeout, func(number uint64) { // nil if no answer arrived
		request.Number = number
		s.Transport.Send(neighbour, &request)
	})
	return response
}
