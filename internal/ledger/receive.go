package ledger

import (
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// pendingAfter is when a holder answers that a request is pending.
	pendingAfter = 120 * time.Millisecond
	// pendingInterval separates further such answers while the holder is busy. It must stay
	// below pendingTimeout even if one is late.
	pendingInterval = 500 * time.Millisecond
)

// Receive handles a received message; false means that it is not for this ledger.
func (s *Service) Receive(from structs.DaemonID, message peer.Message) bool {
	if name, known := LedgerOf(message); !known || name != s.Name {
		return false
	}
	switch message := message.(type) {
	case *Request:
		s.dispatch(message, func(response Response) {
			response.Ledger = s.Name
			response.Evacuations = s.evacuationUpdateAfter(message.EvacuationsEnd)
			s.Transport.Send(from, &response)
		})
	case *Response:
		s.applyEvacuationUpdate(message.Evacuations)
		s.deliver(*message)
	default:
		return false
	}
	return true
}

// dispatch passes a request to its shard's holder. If that takes a while, the caller
// receives pending answers for as long as the holder is busy.
func (s *Service) dispatch(request *Request, reply func(Response)) {
	if s.ClientOnly || request.Shard < 0 || request.Shard >= len(s.holders) || !request.hasOperation() {
		reply(Response{Number: request.Number, Result: resultMoved})
		return
	}
	holder := s.holders[request.Shard]
	if request.Confirm {
		reply(holder.confirm(request.Number))
		return
	}
	stop := sendPending(request, holder, reply)
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

// sendPending sends pending answers to the caller until stop is called.
func sendPending(request *Request, holder *holder, reply func(Response)) (stop func()) {
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
			AllowedInMS: holder.fullAllowanceIn(now).Milliseconds(),
		})
		if holder.status.isBusy() {
			timer.Reset(pendingInterval)
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
