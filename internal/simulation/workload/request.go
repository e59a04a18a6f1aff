package workload

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// progressTimeout is how long a caller waits for any message before it
	// switches to another daemon.
	progressTimeout = 6 * time.Second
	// reconnectDelay is the delay after a broken connection.
	reconnectDelay = 100 * time.Millisecond
	// unknownRetryDelay is the delay after an unknown outcome that gives no
	// retry delay.
	unknownRetryDelay = time.Second
	// unknownTimeout is how long a caller keeps asking for the outcome of a
	// call.
	unknownTimeout = 2 * time.Minute
)

// pendingRequest is a request that a caller waits for. It keeps the text
// received so far across connections, and asks the next daemon for the rest.
type pendingRequest struct {
	callers *Callers
	call    structs.Call
	done    func(structs.Outcome)
	text    string
	// sent counts how often the call was sent.
	sent             int
	startedAt        time.Time
	daemon           int
	connectionNumber int
	closeConnection  func()
	timer            clock.Timer
	finished         bool
}

// requestConnection is one connection of a pending request; messages on earlier
// connections are ignored.
type requestConnection struct {
	request *pendingRequest
	number  int
}

func (c *Callers) send(call structs.Call, daemon int, done func(structs.Outcome)) {
	r := &pendingRequest{callers: c, call: call, daemon: daemon, done: done, startedAt: c.cluster.Clock.Now()}
	c.open[r] = struct{}{}
	r.send()
}

// send sends the call to the current daemon.
func (r *pendingRequest) send() {
	c := r.callers
	daemon := c.cluster.Daemons[r.daemon%len(c.cluster.Daemons)]
	call := r.call
	call.ResumeAt = int64(len(r.text))
	call.Retry = call.Retry || r.sent > 0
	r.sent++
	r.connectionNumber++
	c.OnEvent("send", call.Key, call.RequestID, daemon.Address)
	r.closeConnection = daemon.Request(c.place(), call, &requestConnection{request: r, number: r.connectionNumber})
	r.waitForProgress()
}

func (r *pendingRequest) waitForProgress() {
	r.after(progressTimeout, func() {
		r.closeConnection()
		r.switchDaemon()
	})
}

func (r *pendingRequest) after(d time.Duration, f func()) {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.timer = r.callers.cluster.Clock.AfterFunc(d, f)
}

// switchDaemon selects a daemon at random, possibly the same one, and sends the
// call there after reconnectDelay.
func (r *pendingRequest) switchDaemon() {
	r.connectionNumber++
	r.daemon += 1 + r.callers.random.IntN(len(r.callers.cluster.Daemons)-1+1)
	r.after(reconnectDelay, r.send)
}

// Chunks implements submit.Caller.
func (conn *requestConnection) Chunks(chunks []structs.Chunk) {
	r := conn.request
	if conn.number != r.connectionNumber || r.finished {
		return
	}
	for _, chunk := range chunks {
		if chunk.Offset != int64(len(r.text)) {
			r.callers.checker.ReportMisplacedChunk(r.call.Key, r.call.RequestID, int64(len(r.text)), chunk.Offset)
		}
		r.text += chunk.Text
	}
	r.callers.OnEvent("pieces", r.call.Key, r.call.RequestID, r.text)
	r.callers.recordTakeover(r)
	r.waitForProgress()
}

// ConnectionLost implements cluster.Caller.
func (conn *requestConnection) ConnectionLost() {
	r := conn.request
	if conn.number != r.connectionNumber || r.finished {
		return
	}
	r.callers.observeLostConnection(r)
	r.switchDaemon()
}

// ConnectionRefused implements cluster.Caller.
func (conn *requestConnection) ConnectionRefused() {
	if conn.number == conn.request.connectionNumber && !conn.request.finished {
		conn.request.switchDaemon()
	}
}

// Outcome implements submit.Caller.
func (conn *requestConnection) Outcome(outcome structs.Outcome) {
	r := conn.request
	if conn.number != r.connectionNumber || r.finished {
		return
	}
	c := r.callers
	c.checker.RecordOutcome(r.call.Key, r.call.RequestID, outcome, r.text)
	c.OnEvent("outcome", r.call.Key, r.call.RequestID, string(outcome.Status)+" "+string(outcome.Reason))
	waited := c.cluster.Clock.Now().Sub(r.startedAt)
	if outcome.Status == structs.OutcomeUnknown && waited < unknownTimeout {
		r.connectionNumber++
		r.after(max(outcome.RetryAfter, unknownRetryDelay), r.send)
		return
	}
	c.recordTakeover(r)
	c.checkGracefulStop(r, outcome)
	r.finish(outcome)
}

func (r *pendingRequest) finish(outcome structs.Outcome) {
	r.finished = true
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(r.callers.open, r)
	r.done(outcome)
}

var _ cluster.Caller = (*requestConnection)(nil)
