package workload

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// progressWait is how long a caller waits for anything before it turns to
	// another daemon.
	progressWait = 6 * time.Second
	// reconnectPause follows a broken connection.
	reconnectPause = 100 * time.Millisecond
	// askAgainPause follows an unknown outcome that names no pause.
	askAgainPause = time.Second
	// unknownPatience is how long a caller asks what became of a call.
	unknownPatience = 2 * time.Minute
)

// reader is a caller that waits for one request. It keeps what it has of the
// answer through broken connections, and asks the next daemon for the rest.
type reader struct {
	callers *Callers
	call    structs.Call
	done    func(structs.Outcome)
	text    string
	// sent counts how often the call was sent.
	sent      int
	startedAt time.Time
	daemon    int
	connected int
	hangUp    func()
	timer     clock.Timer
	finished  bool
}

// leg is one connection of a reader; pieces of former ones are not heard.
type leg struct {
	reader *reader
	number int
}

func (c *Callers) read(call structs.Call, daemon int, done func(structs.Outcome)) {
	r := &reader{callers: c, call: call, daemon: daemon, done: done, startedAt: c.cluster.Clock.Now()}
	c.open[r] = struct{}{}
	r.send()
}

// send asks the daemon whose turn it is.
func (r *reader) send() {
	c := r.callers
	daemon := c.cluster.Daemons[r.daemon%len(c.cluster.Daemons)]
	call := r.call
	call.ResumeAt = int64(len(r.text))
	call.Retry = call.Retry || r.sent > 0
	r.sent++
	r.connected++
	c.OnEvent("send", call.Key, call.RequestID, daemon.Address)
	r.hangUp = daemon.Request(c.place(), call, &leg{reader: r, number: r.connected})
	r.waitForProgress()
}

func (r *reader) waitForProgress() {
	r.after(progressWait, func() {
		r.hangUp()
		r.turnToNext()
	})
}

func (r *reader) after(d time.Duration, f func()) {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.timer = r.callers.cluster.Clock.AfterFunc(d, f)
}

// turnToNext goes to another daemon.
func (r *reader) turnToNext() {
	r.connected++
	r.daemon += 1 + r.callers.random.IntN(len(r.callers.cluster.Daemons)-1+1)
	r.after(reconnectPause, r.send)
}

// Chunks implements submit.Caller.
func (l *leg) Chunks(chunks []structs.Chunk) {
	r := l.reader
	if l.number != r.connected || r.finished {
		return
	}
	for _, chunk := range chunks {
		if chunk.Offset != int64(len(r.text)) {
			r.callers.checker.ReportMisplacedChunk(r.call.Key, r.call.RequestID, int64(len(r.text)), chunk.Offset)
		}
		r.text += chunk.Text
	}
	r.callers.OnEvent("pieces", r.call.Key, r.call.RequestID, r.text)
	r.callers.progressed(r)
	r.waitForProgress()
}

// Lost implements cluster.Caller.
func (l *leg) ConnectionLost() {
	r := l.reader
	if l.number != r.connected || r.finished {
		return
	}
	r.callers.lostConnection(r)
	r.turnToNext()
}

// ConnectionRefused implements cluster.Caller.
func (l *leg) ConnectionRefused() {
	if l.number == l.reader.connected && !l.reader.finished {
		l.reader.turnToNext()
	}
}

// Outcome implements submit.Caller.
func (l *leg) Outcome(outcome structs.Outcome) {
	r := l.reader
	if l.number != r.connected || r.finished {
		return
	}
	c := r.callers
	c.checker.RecordOutcome(r.call.Key, r.call.RequestID, outcome, r.text)
	c.OnEvent("outcome", r.call.Key, r.call.RequestID, string(outcome.Status)+" "+string(outcome.Reason))
	waited := c.cluster.Clock.Now().Sub(r.startedAt)
	if outcome.Status == structs.OutcomeUnknown && waited < unknownPatience {
		r.connected++
		r.after(max(outcome.RetryAfter, askAgainPause), r.send)
		return
	}
	c.progressed(r)
	c.checkPlanned(r, outcome)
	r.finish(outcome)
}

func (r *reader) finish(outcome structs.Outcome) {
	r.finished = true
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(r.callers.open, r)
	r.done(outcome)
}

var _ cluster.Caller = (*leg)(nil)
