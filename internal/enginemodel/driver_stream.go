package enginemodel

import (
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// driverStream is the connection that carries one attempt's stream. It
// observes the engine and forwards what it receives after the network delay.
type driverStream struct {
	driver       *Driver
	engine       structs.EngineID
	observer     framework.EngineObserver
	subscription *Subscription
	closed       bool
	broken       bool
	// lastArrival keeps chunks in order when the delay changes.
	lastArrival time.Time
}

var (
	_ framework.EngineObserver = (*driverStream)(nil)
	_ framework.Stream         = (*driverStream)(nil)
)

// Start implements framework.EngineDriver.
func (d *Driver) Start(request framework.EngineRequest, observer framework.EngineObserver) framework.Stream {
	s := &driverStream{driver: d, engine: request.Engine, observer: observer}
	d.streams = append(d.streams, s)
	fault := d.fault(request.Engine, OperationStart)
	delay := d.oneWay(request.Engine, fault)
	switch {
	case fault.Refuse:
		s.endAfter(delay, framework.AttemptEnd{Kind: framework.EndRejected, Message: "connection refused"})
		return s
	case fault.LoseRequest:
		s.endAfter(d.options.Timeout, connectionLost())
		return s
	}
	d.options.Clock.AfterFunc(delay, func() { s.deliverRequest(request, fault) })
	return s
}

func connectionLost() framework.AttemptEnd {
	return framework.AttemptEnd{Kind: framework.EndLost, Reason: structs.ReasonConnectionLost, Message: "connection lost"}
}

// deliverRequest starts the attempt when the request arrives at the engine, even
// if the caller has stopped reading meanwhile.
func (s *driverStream) deliverRequest(request framework.EngineRequest, fault Fault) {
	e := s.driver.options.Fleet.Engine(s.engine)
	if e == nil || e.Down() {
		s.End(framework.AttemptEnd{Kind: framework.EndRejected, Message: "connection refused"})
		return
	}
	gone := s.closed || s.driver.closed
	if fault.LoseAnswer && !gone {
		gone = true
		s.endAfter(s.driver.options.Timeout, connectionLost())
	}
	subscription := e.Start(s.driver.options.Fleet.reader.Read(request), s.observerUnless(gone))
	if gone {
		subscription.Detach()
		return
	}
	s.subscription = subscription
}

// observerUnless returns the stream as observer, or a discarding one if its
// reader is gone.
func (s *driverStream) observerUnless(gone bool) framework.EngineObserver {
	if gone {
		return discardObserver{}
	}
	return s
}

// discardObserver is the observer of a stream that nobody reads.
type discardObserver struct{}

func (discardObserver) Chunks([]structs.Chunk)   {}
func (discardObserver) End(framework.AttemptEnd) {}

// Detach implements framework.Stream.
func (s *driverStream) Detach() { s.close() }

func (s *driverStream) close() {
	if s.closed {
		return
	}
	s.closed = true
	s.subscription.Detach()
	if place := slices.Index(s.driver.streams, s); place >= 0 {
		s.driver.streams = slices.Delete(s.driver.streams, place, place+1)
	}
}

// Chunks implements framework.EngineObserver.
func (s *driverStream) Chunks(chunks []structs.Chunk) {
	fault := s.driver.fault(s.engine, OperationStream)
	if s.broken || fault.LoseAnswer || fault.LoseRequest || fault.Refuse {
		s.breakConnection()
		return
	}
	s.deliverToReader(fault, func() { s.observer.Chunks(chunks) })
}

// End implements framework.EngineObserver.
func (s *driverStream) End(end framework.AttemptEnd) {
	fault := s.driver.fault(s.engine, OperationStream)
	if s.broken || fault.LoseAnswer || fault.LoseRequest || fault.Refuse {
		s.breakConnection()
		return
	}
	s.deliverToReader(fault, func() { s.finish(end) })
}

// breakConnection stops the stream; the reader detects it after the timeout.
func (s *driverStream) breakConnection() {
	s.subscription.Detach()
	if !s.broken {
		s.broken = true
		s.endAfter(s.driver.options.Timeout, connectionLost())
	}
}

func (s *driverStream) endAfter(wait time.Duration, end framework.AttemptEnd) {
	s.driver.afterUnlessClosed(wait, func() { s.finish(end) })
}

func (s *driverStream) finish(end framework.AttemptEnd) {
	if s.closed {
		return
	}
	s.close()
	s.observer.End(end)
}

// deliverToReader runs a task at the reader after the delay, in order with
// earlier ones.
func (s *driverStream) deliverToReader(fault Fault, task func()) {
	now := s.driver.options.Clock.Now()
	arrival := now.Add(s.driver.oneWay(s.engine, fault))
	if arrival.Before(s.lastArrival) {
		arrival = s.lastArrival
	}
	s.lastArrival = arrival
	s.driver.afterUnlessClosed(arrival.Sub(now), func() {
		if !s.closed {
			task()
		}
	})
}

// BreakStreams breaks the open streams from an engine, or from all engines for
// "". The readers are notified at once that the connection is lost; the attempts
// continue.
func (d *Driver) BreakStreams(engine structs.EngineID) {
	for _, s := range slices.Clone(d.streams) {
		if engine == "" || s.engine == engine {
			s.finish(connectionLost())
		}
	}
}
