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
	if len(w.request.Told) > 0 {
		s.receiveTold(w.request)
		return
	}
	f := s.followed[w.request.Partition]
	if f == nil || w.request.At < 0 {
		s.answer(from, w, &Response{Result: resultUnable})
		return
	}
	if packed, has := f.replica.bundleByHash(w.request.Bundle); has {
		s.answer(from, w, pieceOf(packed, w.request.At))
		return
	}
	if w.request.Bundle == "" && f.replica.hold(from, w) {
		s.answerInTime(from, w.request, f)
		return
	}
	if response := responseTo(w, f); response.Result != resultUnchanged {
		s.answer(from, w, response)
		return
	}
	s.answer(from, w, &Response{Result: resultUnable}) // too many requests wait
}

// answerInTime answers a held request shortly after the end of its wait, with what is known by then:
// a daemon that gets no answer takes this one for dead, and may read from the store. By then a read
// by this daemon with the same wait has ended.
func (s *Service) answerInTime(from structs.DaemonID, request *Request, f *followed) {
	if request.wait() <= 0 {
		return
	}
	time.AfterFunc(request.wait()+minHoldTime, func() {
		if w, held := f.replica.takeHeld(from, request); held {
			s.answer(from, w, responseTo(w, f))
		}
	})
}

// answerAll answers requests that waited for a read of a partition.
func (s *Service) answerAll(due map[structs.DaemonID]waiter, f *followed) {
	for _, from := range slices.Sorted(maps.Keys(due)) {
		s.answer(from, due[from], responseTo(due[from], f))
	}
}

// responseTo builds the answer to a request from what this daemon has read so far.
func responseTo(w waiter, f *followed) *Response {
	var packed *bundle
	var asOf time.Time
	var known bool
	if w.request.wantsAll() {
		packed, asOf, known = f.replica.bundleOfAll()
	} else {
		packed, asOf, known = f.replica.bundleSince(w.request.From)
	}
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
