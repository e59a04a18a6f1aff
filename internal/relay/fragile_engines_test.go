package relay

import (
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
)

// fragileEngines are engines that end while they run certain bodies. They implement Driver.
type fragileEngines struct {
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
}

// fragileEngine is one run of an engine.
type fragileEngine struct {
	// over is closed when the run ends.
	over    chan struct{}
	isOver  bool
	endedAt time.Time
}

func newFragileEngines() *fragileEngines {
	return &fragileEngines{engines: map[string]*fragileEngine{}, received: map[string]int{}, ended: map[string]int{}, requests: map[string]bool{}}
}

func (e *fragileEngines) start(id string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.engines[id] = &fragileEngine{over: make(chan struct{})}
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
		done = time.After(usualRun)
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

// contentCaller sends one content as often as it is told to, each time as a request of its own.
type contentCaller struct {
	fleet *fragileFleet
	body  string
	// makeCall returns the next request; nil for newCall of the fleet's route.
	makeCall func() *Call
	sent     int
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
	d.relay.Serve(d.alive, call, answer.recorder)
	answer.took = time.Since(call.Received)
	return answer
}
