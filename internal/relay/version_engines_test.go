package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/instance"
)

// versionedEngines are the engines of a versionFleet. An event names the version that made it.
type versionedEngines struct {
	mutex   sync.Mutex
	running map[string]instance.Instance
	// breakAfter is after how many events the first run of each call breaks off, 0 for never.
	breakAfter int
	ran        map[string]int
	// full are the engines that refuse requests.
	full map[string]bool
	// onRun is called when an engine accepts a request, if it is set.
	onRun func()
}

func (e *versionedEngines) start(started instance.Instance) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.running[started.ID] = started
}

func (e *versionedEngines) crash(id string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.running, id)
}

// setFull makes engines refuse requests, or accept them again.
func (e *versionedEngines) setFull(isFull bool, ids ...string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.full == nil {
		e.full = map[string]bool{}
	}
	for _, id := range ids {
		e.full[id] = isFull
	}
}

func (e *versionedEngines) isFull(id string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.full[id]
}

// Send implements Driver.
func (e *versionedEngines) Send(ctx context.Context, to instance.Instance, outgoing *OutgoingCall) (*Answer, error) {
	e.mutex.Lock()
	engine, isRunning := e.running[to.ID]
	breaks := 0
	if e.ran == nil {
		e.ran = map[string]int{}
	}
	if e.ran[outgoing.ID]++; e.ran[outgoing.ID] == 1 {
		breaks = e.breakAfter
	}
	e.mutex.Unlock()
	if !isRunning {
		return nil, httpconn.ErrNotSent
	}
	if e.isFull(to.ID) {
		return &Answer{Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: http.NoBody, NotRun: ProofDeclared}, nil
	}
	if e.onRun != nil {
		e.onRun()
	}
	reader, writer := io.Pipe()
	go e.run(ctx, writer, engine, outgoing.ResumeAfter, breaks)
	return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: reader}, nil
}

// run sends the events after the given one, breaking off after some of them if breaks is
// not 0.
func (e *versionedEngines) run(ctx context.Context, writer *io.PipeWriter, engine instance.Instance, after string, breaks int) {
	first, _ := strconv.Atoi(after) // "" is 0
	time.Sleep(untilFirstEvent)
	for number, sent := first+1, 0; number <= versionedEvents; number, sent = number+1, sent+1 {
		e.mutex.Lock()
		_, isRunning := e.running[engine.ID]
		e.mutex.Unlock()
		if ctx.Err() != nil || !isRunning || breaks > 0 && sent == breaks {
			_ = writer.CloseWithError(io.ErrUnexpectedEOF)
			return
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, engine.Version); err != nil {
			return
		}
		time.Sleep(eventGap)
	}
	_ = writer.Close()
}

// ConnectToLiving implements Driver.
func (e *versionedEngines) ConnectToLiving(ctx context.Context, to instance.Instance) error {
	return e.Connect(ctx, to, 0)
}

// HoldConnection implements Driver.
func (*versionedEngines) HoldConnection(ctx context.Context, _ instance.Instance) error {
	<-ctx.Done()
	return nil
}

// Connect implements Driver.
func (e *versionedEngines) Connect(context.Context, instance.Instance, int) error { return nil }
