package engine

import (
	"sync"

	"github.com/mintpulley/mintpulley/internal/enginemodel"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// connection passes an attempt's stream from the model to the goroutine that
// answers the request.
type connection struct {
	engine       *Engine
	subscription *enginemodel.Subscription
	// ready holds one token while there is something to take.
	ready chan struct{}

	mutex  sync.Mutex
	chunks []structs.Chunk
	end    *framework.AttemptEnd
}

var _ framework.EngineObserver = (*connection)(nil)

// open starts an attempt, or resumes a known one.
func (e *Engine) open(request framework.EngineRequest) *connection {
	c := &connection{engine: e, ready: make(chan struct{}, 1)}
	e.queue.Wait(func() { c.subscription = e.model.Start(e.reader.Read(request), c) })
	return c
}

// Chunks implements framework.EngineObserver.
func (c *connection) Chunks(chunks []structs.Chunk) {
	c.mutex.Lock()
	c.chunks = append(c.chunks, chunks...)
	c.mutex.Unlock()
	c.signal()
}

// End implements framework.EngineObserver.
func (c *connection) End(end framework.AttemptEnd) {
	c.mutex.Lock()
	c.end = &end
	c.mutex.Unlock()
	c.signal()
}

func (c *connection) signal() {
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

// take returns the chunks received since the last call, and the end if it was
// received.
func (c *connection) take() ([]structs.Chunk, *framework.AttemptEnd) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	chunks := c.chunks
	c.chunks = nil
	return chunks, c.end
}

// detach stops reading.
func (c *connection) detach() { c.engine.queue.Do(c.subscription.Detach) }
