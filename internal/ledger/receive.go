package ledger

import (
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// pendingAfter is when a holder says that a request takes a while.
	pendingAfter = 120 * time.Millisecond
	// pendingPause separates further such answers while the holder is busy. It must stay
	// below answerWithin, even if one is late.
	pendingPause = 500 * time.Millisecond
)

// Receive takes a message that arrived; false means it is another part's.
func (s *Service) Receive(from structs.DaemonID, message peer.Message) bool {
	if name, known := LedgerOf(message); !known || name != s.Name {
		return false
	}
	switch message := message.(type) {
	case *Request:
		s.operate(message, func(response Response) {
			response.Ledger = s.Name
			response.Evacuations = s.tellEvacuations(message.EvacuationsEnd)
			s.Transport.Send(from, &response)
		})
	case *Response:
		s.hearEvacuations(message.Evacuations)
		s.deliver(*message)
	default:
		return false
	}
	return true
}

// operate hands a request to its shard's holder. If that takes a while, the
// asker is told so, again and again while the holder is busy.
func (s *Service) operate(request *Request, reply func(Response)) {
	if s.ClientOnly || request.Shard < 0 || request.Shard >= len(s.holders) || !request.isWhole() {
		reply(Response{Number: request.Number, Result: resultMoved})
		return
	}
	holder := s.holders[request.Shard]
	if request.Confirm {
		reply(holder.confirm(request.Number))
		return
	}
	stop := tellPending(request, holder, reply)
	o := operation{request: request, reply: func(response Response) {
		stop()
		reply(response)
	}}
	select {
	case holder.operations <- o:
	default:
		o.reply(Response{Number: request.Number, Result: resultImpaired})
	}
}

// tellPending tells the asker that its request takes a while, until stop.
func tellPending(request *Request, holder *holder, reply func(Response)) (stop func()) {
	after := pendingAfter
	if !request.isUrgent() {
		after += settleDelay
	}
	var mutex sync.Mutex
	stopped := false
	var timer *time.Timer
	tell := func() {
		mutex.Lock()
		defer mutex.Unlock()
		if stopped {
			return
		}
		now := time.Now()
		reply(Response{
			Number: request.Number, Result: resultPending,
			StoreOutMS:  holder.storeOutFor(now).Milliseconds(),
			AllowedInMS: holder.allowedIn(now).Milliseconds(),
		})
		if holder.status.isBusy() {
			timer.Reset(pendingPause)
		}
	}
	mutex.Lock()
	defer mutex.Unlock()
	timer = time.AfterFunc(after, tell)
	return func() {
		mutex.Lock()
		defer mutex.Unlock()
		stopped = true
		timer.Stop()
	}
}
