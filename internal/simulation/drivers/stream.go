package drivers

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// connectionCheckInterval is the interval between checks of a stream's
// connection; a break is detected by the second check after it.
const connectionCheckInterval = time.Second

// engineStream is a daemon's connection to an engine that streams one attempt.
// A lost message breaks the whole connection.
type engineStream struct {
	client     *engineClient
	engine     *Engine
	restarts   int
	observer   framework.EngineObserver
	inner      framework.Stream
	checkTimer clock.Timer

	delivered bool
	sent      int
	// received counts messages that arrived in order. stalledAt is its value at
	// the last check that found messages missing or the engine unreachable.
	received  int
	stalledAt int
	ended     bool
	detached  bool
}

// notStalled is the value of stalledAt while nothing is missing.
const notStalled = -1

// Start implements framework.EngineDriver.
func (c *engineClient) Start(request framework.EngineRequest, observer framework.EngineObserver) framework.Stream {
	engine := c.engines.members[request.Engine]
	stream := &engineStream{client: c, engine: engine, observer: observer, stalledAt: notStalled}
	if engine == nil {
		c.client.Process.AfterFunc(0, func() { stream.end(refusedConnection()) })
		return stream
	}
	stream.restarts = engine.restarts
	request.Messages = append([]structs.Message{}, request.Messages...)
	if c.engines.BeforeSend != nil {
		c.engines.BeforeSend(c.client.Place, request)
	}
	c.client.Process.Run(func() {
		c.client.Network.Deliver(c.client.Place, engine.Place, func() { stream.arrive(request) })
	})
	stream.scheduleCheck()
	return stream
}

func refusedConnection() framework.AttemptEnd {
	return framework.AttemptEnd{Kind: framework.EndRejected, Message: "connection refused"}
}

// arrive delivers the request to the engine.
func (s *engineStream) arrive(request framework.EngineRequest) {
	s.delivered = true
	if s.engine.Model.Down() {
		s.forward(func() { s.end(refusedConnection()) })
		return
	}
	s.restarts = s.engine.restarts
	s.inner = s.engine.startOrJoin(request, s.client.client.Place, s)
	if s.detached && s.inner != nil {
		s.inner.Detach()
	}
}

// Chunks implements framework.EngineObserver for the engine's end.
func (s *engineStream) Chunks(chunks []structs.Chunk) {
	copied := append([]structs.Chunk{}, chunks...)
	s.forward(func() { s.observer.Chunks(copied) })
}

// End implements framework.EngineObserver for the engine's end.
func (s *engineStream) End(end framework.AttemptEnd) {
	s.forward(func() { s.end(end) })
}

// forward delivers one message to the daemon, in order.
func (s *engineStream) forward(deliver func()) {
	if s.restarts != s.engine.restarts {
		return
	}
	number := s.sent
	s.sent++
	c := s.client.client
	c.Network.Deliver(s.engine.Place, c.Place, func() {
		c.Process.Run(func() {
			switch {
			case s.ended || s.detached:
			case number != s.received:
				s.failLost("a piece is missing")
			default:
				s.received++
				deliver()
			}
		})
	})
}

func (s *engineStream) end(end framework.AttemptEnd) {
	if s.ended || s.detached {
		return
	}
	s.close()
	s.observer.End(end)
}

func (s *engineStream) failLost(reason string) {
	s.end(framework.AttemptEnd{Kind: framework.EndLost, Message: reason})
}

func (s *engineStream) close() {
	s.ended = true
	if s.checkTimer != nil {
		s.checkTimer.Stop()
	}
	if s.inner != nil {
		s.inner.Detach()
	}
}

// Detach implements framework.Stream.
func (s *engineStream) Detach() {
	s.detached = true
	s.close()
}

func (s *engineStream) scheduleCheck() {
	s.checkTimer = s.client.client.Process.AfterFunc(connectionCheckInterval, s.checkConnection)
}

// checkConnection detects a connection that broke silently: keep-alives fail,
// or sent messages do not arrive.
func (s *engineStream) checkConnection() {
	c := s.client.client
	reachable := c.Network.Reachable(c.Place, s.engine.Place) && c.Network.Reachable(s.engine.Place, c.Place)
	sameRun := s.restarts == s.engine.restarts && !s.engine.Model.Down()
	complete := s.delivered && s.sent == s.received
	switch {
	case reachable && !sameRun:
		s.failLost("connection reset")
		return
	case reachable && complete:
		s.stalledAt = notStalled
	case s.stalledAt == s.received:
		s.failLost("connection timed out")
		return
	default:
		s.stalledAt = s.received
	}
	s.scheduleCheck()
}
