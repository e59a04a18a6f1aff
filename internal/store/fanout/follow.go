package fanout

import (
	"context"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// silence is how long a neighbour may say nothing beyond the wait: it reads with the same
	// wait, so its next answer is due by then, and half of the 0.4 s after which the watch makes
	// the reading once more is left for the store's answer.
	silence = 200 * time.Millisecond
	// pieceSilence is how long the next piece may take: some of them on a link of 30 Mbit/s that
	// five other daemons share, and a small machine that is busy.
	pieceSilence = 300 * time.Millisecond
)

// follow asks a neighbour for what follows an offset; false if it did not bring it.
func (s *Service) follow(ctx context.Context, neighbour structs.DaemonID, from int64, wait time.Duration) (reading, bool) {
	sent := time.Now()
	request := Request{Partition: s.Partition, From: from}
	response := s.ask(ctx, neighbour, request, wait+silence)
	if response == nil {
		return s.failed(ctx, neighbour, outcomeSilent)
	}
	switch response.Result {
	case resultUnchanged:
		got := reading{from: from, next: from, asOf: response.asOf(sent, time.Now())}
		s.Metrics.asked(outcomeUnchanged)
		s.take(got, nil)
		return got, true
	case resultPiece:
		return s.fetch(ctx, neighbour, request, response, sent)
	}
	return s.failed(ctx, neighbour, outcomeUnable)
}

// fetch gets the rest of a bundle whose first piece a neighbour sent to a request made at a time.
func (s *Service) fetch(ctx context.Context, neighbour structs.DaemonID, request Request, piece *Response, askedAt time.Time) (reading, bool) {
	var partial partialBundle
	for partial.add(piece, askedAt) {
		store.ProgressOf(ctx).Note(len(piece.Data))
		if partial.isWhole() {
			return s.unpack(ctx, neighbour, request.From, &partial)
		}
		request.Bundle, request.At = partial.first.Bundle, len(partial.data)
		askedAt = time.Now()
		if piece = s.ask(ctx, neighbour, request, pieceSilence); piece == nil {
			return s.failed(ctx, neighbour, outcomeSilent)
		}
	}
	return s.failed(ctx, neighbour, outcomeMalformed)
}

// unpack takes the records from an offset on that a neighbour's whole bundle holds.
func (s *Service) unpack(ctx context.Context, neighbour structs.DaemonID, from int64, whole *partialBundle) (reading, bool) {
	packed, records, err := unpackBundle(whole.first.Bundle, whole.data)
	if err != nil || packed.from > from || packed.end <= from {
		return s.failed(ctx, neighbour, outcomeMalformed)
	}
	records = slices.DeleteFunc(records, func(r store.Record) bool { return r.Offset < from })
	got := reading{records: records, from: from, next: packed.end, asOf: whole.first.asOf(whole.askedAt, time.Now())}
	s.Metrics.asked(outcomeBrought)
	s.take(got, packed)
	return got, true
}

// failed passes a neighbour over that brought nothing, unless nobody waited for it.
func (s *Service) failed(ctx context.Context, neighbour structs.DaemonID, how outcome) (reading, bool) {
	if ctx.Err() == nil {
		s.sources.avoid(neighbour, time.Now())
		s.Metrics.asked(how)
		s.Logger.Info().Str("neighbour", string(neighbour)).Str("why", string(how)).Msg("Records not brought. The store is asked.")
	}
	return reading{}, false
}

// ask sends a request and waits for its answer; nil means none came.
func (s *Service) ask(ctx context.Context, neighbour structs.DaemonID, request Request, patience time.Duration) *Response {
	response, _ := s.replies.Ask(ctx, patience, func(number uint64) { // nil if none came
		request.Number = number
		s.Transport.Send(neighbour, &request)
	})
	return response
}
