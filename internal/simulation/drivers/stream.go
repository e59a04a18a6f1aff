package drivers

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// streamWatch is the pause between looks at a stream's connection; a break is
// noticed after two of them.
const streamWatch = time.Second

// engineStream is a daemon's connection to an engine over which one attempt's
// stream is read. It breaks as a whole: once a piece was lost nothing follows.
type engineStream struct {
	client   *engineClient
	engine   *Engine
	restarts int
	observer framework.EngineObserver
	inner    framework.Stream
	watch    clock.Timer

	arrived bool
	sent    int
	// received counts pieces that came in order; suspicious is what it was at
	// the last look at which pieces were missing.
	received   int
	suspicious int
	ended      bool
	detached   bool
}

// nothingSuspicious marks a stream on which nothing was missing.
const nothingSuspicious = -1

// Start implements framework.EngineDriver.
func (c *engineClient) Start(request framework.EngineRequest, observer framework.EngineObserver) framework.Stream {
	engine := c.engines.members[request.Engine]
	stream := &engineStream{client: c, engine: engine, observer: observer, suspicious: nothingSuspicious}
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
	stream.watchLater()
	return stream
}

func refusedConnection() framework.AttemptEnd {
	return framework.AttemptEnd{Kind: framework.EndRejected, Message: "connection refused"}
}

// arrive hands the request to the engine.
func (s *engineStream) arrive(request framework.EngineRequest) {
	s.arrived = true
	if s.engine.Model.Down() {
		s.relay(func() { s.end(refusedConnection()) })
		return
	}
	s.restarts = s.engine.restarts
	s.inner = s.engine.take(request, s.client.client.Place, s)
	if s.detached && s.inner != nil {
		s.inner.Detach()
	}
}

// Chunks implements framework.EngineObserver at the engine's end.
func (s *engineStream) Chunks(chunks []structs.Chunk) {
	copied := append([]structs.Chunk{}, chunks...)
	s.relay(func() { s.observer.Chunks(copied) })
}

// End implements framework.EngineObserver at the engine's end.
func (s *engineStream) End(end framework.AttemptEnd) {
	s.relay(func() { s.end(end) })
}

// relay carries one piece to the daemon.
func (s *engineStream) relay(hand func()) {
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
				s.lose("a piece is missing")
			default:
				s.received++
				hand()
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

func (s *engineStream) lose(why string) {
	s.end(framework.AttemptEnd{Kind: framework.EndLost, Message: why})
}

func (s *engineStream) close() {
	s.ended = true
	if s.watch != nil {
		s.watch.Stop()
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

func (s *engineStream) watchLater() {
	s.watch = s.client.client.Process.AfterFunc(streamWatch, s.look)
}

// look notices a connection that broke without a word: keep-alives fail, or
// pieces that were sent do not come.
func (s *engineStream) look() {
	c := s.client.client
	there := c.Network.Reachable(c.Place, s.engine.Place) && c.Network.Reachable(s.engine.Place, c.Place)
	same := s.restarts == s.engine.restarts && !s.engine.Model.Down()
	whole := s.arrived && s.sent == s.received
	switch {
	case there && !same:
		s.lose("connection reset")
		return
	case there && whole:
		s.suspicious = nothingSuspicious
	case s.suspicious == s.received:
		s.lose("connection timed out")
		return
	default:
		s.suspicious = s.received
	}
	s.watchLater()
}
