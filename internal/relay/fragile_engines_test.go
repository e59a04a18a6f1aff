package relay

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/instance"
)

const (
	// deadlyMark begins the bodies that end the engine which runs them, deadlyAfter later.
	deadlyMark  = "deadly"
	deadlyAfter = 40 * time.Millisecond
	// usualRun is how long an engine takes for any other body.
	usualRun = 30 * time.Millisecond
	// timeToFinish is how long a daemon runs after its shutdown deadline.
	timeToFinish = 400 * time.Millisecond
)

// fragileEngines are engines that end while they run certain bodies. They implement Driver.
type fragileEngines struct {
	// runTime is how long an engine takes for a body that is not deadly, 0 for usualRun.
	runTime time.Duration
	// restartAfter is when an engine runs again under its ID after it has ended, 0 for never.
	restartAfter time.Duration
	// endsSilently: connections to an engine that has ended hang.
	endsSilently bool
	// acceptsAfterEnd is how long an engine accepts connections after its runs have ended.
	acceptsAfterEnd time.Duration
	// eventBeforeEnd: an engine sends an event of a stream before a body ends it.
	eventBeforeEnd bool

	mutex   sync.Mutex
	engines map[string]*fragileEngine
	// received counts the requests that engines began to run, by body, and ended the engines
	// that ended under a body.
	received, ended map[string]int
	// requests holds the IDs of all requests that engines began to run.
	requests map[string]bool
	// lastEngine is the engine that began to run a body last.
	lastEngine map[string]string
}

// fragileEngine is one run of an engine.
type fragileEngine struct {
	// over is closed when the run ends.
	over   chan struct{}
	isOver bool
	// closed is closed and replaced when the engine closes its idle connections.
	closed  chan struct{}
	endedAt time.Time
}

func newFragileEngines() *fragileEngines {
	return &fragileEngines{engines: map[string]*fragileEngine{}, received: map[string]int{}, ended: map[string]int{}, requests: map[string]bool{}, lastEngine: map[string]string{}}
}

func (e *fragileEngines) start(id string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.engines[id] = &fragileEngine{over: make(chan struct{}), closed: make(chan struct{})}
}

// end ends the current run of an engine.
func (e *fragileEngines) end(id string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.endRun(id, e.engines[id])
}

// endRun ends a run, unless it is over; it reports whether it was not. The mutex must be held.
func (e *fragileEngines) endRun(id string, engine *fragileEngine) bool {
	if engine.isOver {
		return false
	}
	engine.isOver, engine.endedAt = true, time.Now()
	close(engine.over)
	if e.restartAfter > 0 {
		time.AfterFunc(e.restartAfter, func() { e.start(id) })
	}
	return true
}

// closeConnections closes the idle connections of an engine.
func (e *fragileEngines) closeConnections(id string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	close(e.engines[id].closed)
	e.engines[id].closed = make(chan struct{})
}

// ranLast returns the engine that began to run a body last.
func (e *fragileEngines) ranLast(body string) string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lastEngine[body]
}

// hasJustEnded reports whether an engine still accepts connections.
func (e *fragileEngines) hasJustEnded(id string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	engine := e.engines[id]
	return engine != nil && engine.isOver && time.Since(engine.endedAt) < e.acceptsAfterEnd
}

// running returns the current run of an engine, nil if it has none.
func (e *fragileEngines) running(id string) *fragileEngine {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if engine := e.engines[id]; engine != nil && !engine.isOver {
		return engine
	}
	return nil
}

// runningIDs returns the IDs of the engines that run, sorted.
func (e *fragileEngines) runningIDs() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var ids []string
	for id, engine := range e.engines {
		if !engine.isOver {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// ConnectToLiving implements Driver.
func (e *fragileEngines) ConnectToLiving(ctx context.Context, to instance.Instance) error {
	if err := e.Connect(ctx, to, 0); err != nil {
		return err
	}
	time.Sleep(2 * e.acceptsAfterEnd)
	if e.running(to.ID) == nil {
		return httpconn.ErrResetUnused
	}
	return nil
}

// HoldConnection implements Driver.
func (e *fragileEngines) HoldConnection(ctx context.Context, to instance.Instance) error {
	engine := e.running(to.ID)
	if engine == nil {
		return e.Connect(ctx, to, 0)
	}
	e.mutex.Lock()
	closed := engine.closed
	e.mutex.Unlock()
	select {
	case <-engine.over:
	case <-closed:
		return httpconn.ErrResetUnused
	case <-ctx.Done():
		return nil
	}
	if e.endsSilently {
		<-ctx.Done()
		return nil
	}
	return httpconn.ErrResetUnused
}

// Connect implements Driver.
func (e *fragileEngines) Connect(ctx context.Context, to instance.Instance, _ int) error {
	if e.running(to.ID) != nil || e.hasJustEnded(to.ID) {
		return nil
	}
	if e.endsSilently {
		<-ctx.Done()
		return httpconn.ErrNotSent
	}
	return httpconn.ErrRefused
}

// Send implements Driver.
func (e *fragileEngines) Send(ctx context.Context, to instance.Instance, outgoing *OutgoingCall) (*Answer, error) {
	engine := e.running(to.ID)
	if engine == nil {
		if e.endsSilently {
			time.Sleep(probeTimeout)
			return nil, httpconn.ErrNotSent
		}
		return nil, httpconn.ErrRefused
	}
	body := string(outgoing.Body)
	e.mutex.Lock()
	e.received[body]++
	e.lastEngine[body] = to.ID
	e.requests[outgoing.ID] = true
	e.mutex.Unlock()
	if strings.Contains(body, deadlyMark) {
		time.AfterFunc(deadlyAfter, func() { e.endUnder(body, to.ID, engine) })
	}
	if outgoing.Route.Kind == kindStream {
		reader, writer := io.Pipe()
		go e.stream(ctx, writer, engine, body)
		return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: reader}, nil
	}
	if err := e.work(ctx, engine, body); err != nil {
		return nil, err
	}
	return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("done"))}, nil
}

// endUnder ends the run of an engine because of a body.
func (e *fragileEngines) endUnder(body, id string, engine *fragileEngine) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.endRun(id, engine) {
		e.ended[body]++
	}
}

// work takes as long as a run of a body does. It fails if the engine ends or ctx does.
func (e *fragileEngines) work(ctx context.Context, engine *fragileEngine, body string) error {
	var done <-chan time.Time
	if !strings.Contains(body, deadlyMark) {
		done = time.After(cmp.Or(e.runTime, usualRun))
	}
	select {
	case <-done:
		return nil
	case <-engine.over:
		if e.endsSilently {
			<-ctx.Done()
			return ctx.Err()
		}
		return httpconn.ErrBroken
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stream writes the events of a run.
func (e *fragileEngines) stream(ctx context.Context, writer *io.PipeWriter, engine *fragileEngine, body string) {
	if e.eventBeforeEnd {
		if _, err := io.WriteString(writer, "id: 1\ndata: first\n\n"); err != nil {
			return
		}
	}
	if err := e.work(ctx, engine, body); err != nil {
		_ = writer.CloseWithError(io.ErrUnexpectedEOF)
		return
	}
	_, _ = io.WriteString(writer, "id: 2\ndata: last\n\n")
	_ = writer.Close()
}

// counts returns how often a body was received, and how many engines ended under it.
func (e *fragileEngines) counts(body string) (received, ended int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.received[body], e.ended[body]
}

// hasRun reports whether an engine began to run a request.
func (e *fragileEngines) hasRun(request string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.requests[request]
}

// fragileFleet is a fleet of relays in front of fragileEngines.
type fragileFleet struct {
	*versionFleet
	fragile *fragileEngines
}

// fragileCount is the number of engines of a fragileFleet.
const fragileCount = 30

func (f *fragileFleet) addToList(id string) {
	f.list = append(f.list, instance.Instance{ID: id, Service: "s", Address: id, Zone: "z", Slots: 8, State: instance.StateReady})
}

// setState changes the state of an engine in the list.
func (f *fragileFleet) setState(id string, state instance.State) {
	for number := range f.list {
		if f.list[number].ID == id {
			f.list[number].State = state
		}
	}
	f.relist()
}

// contentCaller sends one content as often as it is told to, each time as a request of its own.
type contentCaller struct {
	fleet *fragileFleet
	body  string
	// makeCall returns the next request; nil for newCall of the fleet's route.
	makeCall func() *Call
	// patience is when the caller leaves, 0 for never, and stopAfter when the daemon reaches its
	// shutdown deadline.
	patience, stopAfter time.Duration
	sent                int
}

// contentAnswer is how one request ended.
type contentAnswer struct {
	*recorder
	request string
	took    time.Duration
}

// send sends the content to a daemon.
func (c *contentCaller) send(d *versionDaemon) contentAnswer {
	call := newCall(c.fleet.route)
	if c.makeCall != nil {
		call = c.makeCall()
	}
	c.sent++
	call.ID = fmt.Sprintf("%s/%d/%d", c.body, c.sent, rand.Uint64())
	call.Body = []byte(c.body)
	call.Received, call.Deadline = time.Now(), time.Now().Add(3*time.Second)
	answer := contentAnswer{recorder: &recorder{}, request: call.ID}
	ctx, end := c.contextOf(d)
	defer end()
	d.relay.Serve(ctx, call, answer.recorder)
	answer.took = time.Since(call.Received)
	return answer
}

// leave sends the content to a daemon, and leaves before the answer.
func (c *contentCaller) leave(d *versionDaemon, patience time.Duration) {
	c.patience = patience
	defer func() { c.patience = 0 }()
	c.send(d)
}

// contextOf returns the context of a request.
func (c *contentCaller) contextOf(d *versionDaemon) (context.Context, context.CancelFunc) {
	switch {
	case c.patience > 0:
		return context.WithTimeout(d.alive, c.patience)
	case c.stopAfter > 0:
		deadline, endDeadline := context.WithTimeout(context.Background(), c.stopAfter)
		ctx, end := WithShutdownDeadline(d.alive, deadline)
		return ctx, func() {
			end()
			endDeadline()
		}
	}
	return context.WithCancel(d.alive)
}

// finish ends a daemon after its shutdown deadline, in the time that it has left.
func (f *versionFleet) finish(d *versionDaemon) {
	ctx, cancel := context.WithTimeout(context.Background(), timeToFinish)
	defer cancel()
	d.relay.Wait(ctx)
	d.guard.Flush(ctx)
	f.killDaemon(d)
}
