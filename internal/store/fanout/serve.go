package fanout

import (
	"maps"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Receive handles a message; it returns false if the message belongs to another component.
func (s *Service) Receive(from structs.DaemonID, message peer.Message) bool {
	switch message := message.(type) {
	case *Request:
		s.serve(from, waiter{request: message, arrived: time.Now()})
	case *Response:
		s.replies.Deliver(message.Number, message)
	default:
		return false
	}
	return true
}

// serve answers a request, now or after the next read.
func (s *Service) serve(from structs.DaemonID, w waiter) {
	if w.request.Partition != s.Partition || w.request.At < 0 {
		s.answer(from, w, &Response{Result: resultUnable})
		return
	}
	if packed, has := s.replica.bundleByHash(w.request.Bundle); has {
		s.answer(from, w, pieceOf(packed, w.request.At))
		return
	}
	if w.request.Bundle == "" && s.replica.hold(from, w) {
		return
	}
	if response := s.responseTo(w); response.Result != resultUnchanged {
		s.answer(from, w, response)
		return
	}
	s.answer(from, w, &Response{Result: resultUnable}) // too many requests wait
}

// apply stores the result of a read, and answers the requests that waited for it.
func (s *Service) apply(got readResult, packed *bundle) {
	due := s.replica.apply(got, packed)
	for _, from := range slices.Sorted(maps.Keys(due)) {
		s.answer(from, due[from], s.responseTo(due[from]))
	}
}

// responseTo builds the answer to a request from what this daemon has read so far.
func (s *Service) responseTo(w waiter) *Response {
	packed, asOf, known := s.replica.bundleSince(w.request.From)
	switch {
	case !known:
		return &Response{Result: resultUnable}
	case packed == nil:
		return &Response{Result: resultUnchanged, AsOfMS: ageAt(asOf, w.arrived)}
	}
	first := pieceOf(packed, 0)
	first.AsOfMS = ageAt(asOf, w.arrived)
	return first
}

// pieceOf returns the piece of a bundle at position at.
func pieceOf(packed *bundle, at int) *Response {
	at = min(at, len(packed.data))
	return &Response{
		Result: resultPiece, Bundle: packed.hash, Size: len(packed.data),
		At: at, Data: packed.data[at:min(at+pieceSize, len(packed.data))],
	}
}

func (s *Service) answer(to structs.DaemonID, w waiter, response *Response) {
	response.Number = w.request.Number
	s.Metrics.countAnswer(response.Result)
	s.Transport.Send(to, response)
}
