package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/ledger"
	"github.com/mintpulley/mintpulley/internal/route"
)

// loggedEnding is the log line of a call that was not answered.
type loggedEnding struct {
	Request    string     `json:"request"`
	Ending     EndingKind `json:"ending"`
	Cause      Cause      `json:"cause"`
	By         Party      `json:"ended_by"`
	Events     int        `json:"events"`
	MayHaveRun bool       `json:"may_have_run"`
}

// endingsIn returns the logged endings by call.
func endingsIn(t *testing.T, lines *bytes.Buffer) map[string][]loggedEnding {
	t.Helper()
	endings := map[string][]loggedEnding{}
	for line := range bytes.Lines(lines.Bytes()) {
		var read loggedEnding
		if err := json.Unmarshal(line, &read); err != nil {
			t.Fatalf("%v in %s", err, line)
		}
		if read.Ending != "" {
			endings[read.Request] = append(endings[read.Request], read)
		}
	}
	return endings
}

// endingCase is a call and its expected logged ending.
type endingCase struct {
	kind route.Kind
	// once: the stream is not resumable. kept: the call is a turn that takes longer to
	// store than its caller waits.
	once, kept bool
	steps      []step
	// prepare, if not nil, modifies the harness.
	prepare      func(*harness)
	disconnected bool
	// contextCause, if not nil, cancels the call's context after a second.
	contextCause error
	want         loggedEnding
}

var endingCases = map[string]endingCase{
	"back end breaks a stream off": {
		kind: route.KindStream, once: true, steps: []step{{body: eventOne, cut: true}},
		want: loggedEnding{Ending: EndingBrokenOff, Cause: CauseBackEndBroke, By: PartyBackEnd, Events: 1, MayHaveRun: true},
	},
	"back end fails to resume a stream": {
		kind: route.KindStream, steps: []step{{body: eventOne, cut: true}, {status: 500}},
		want: loggedEnding{Ending: EndingBrokenOff, Cause: CauseBackEndFailed, By: PartyBackEnd, Events: 1, MayHaveRun: true},
	},
	"no instance resumes a stream": {
		kind: route.KindStream, steps: []step{{body: eventOne, cut: true}, {notRun: true, status: 503}},
		want: loggedEnding{Ending: EndingBrokenOff, Cause: Cause(ReasonFull), By: PartyDaemon, Events: 1, MayHaveRun: true},
	},
	"back end breaks an answer off": {
		kind: route.KindOnce, steps: []step{{body: "half", cut: true}},
		want: loggedEnding{Ending: EndingRefused, Cause: Cause(ReasonBroken), By: PartyBackEnd, MayHaveRun: true},
	},
	"back end breaks off an error answer to a stream request": {
		kind: route.KindStream, steps: []step{{status: 500, body: "half", cut: true}},
		want: loggedEnding{Ending: EndingRefused, Cause: CauseBackEndBroke, By: PartyBackEnd, MayHaveRun: true},
	},
	"back end has restarted": {
		kind: route.KindOnce, steps: []step{{hold: true}},
		prepare: func(h *harness) {
			h.pool.Replace(restartedRun(100))
			time.AfterFunc(time.Second, func() { h.pool.Replace(restartedRun(200)) })
			time.AfterFunc(2*time.Second, func() { h.relay.GiveUpSilent(time.Now()) })
		},
		want: loggedEnding{Ending: EndingRefused, Cause: CauseBackEndGivenUp, By: PartyDaemon, MayHaveRun: true},
	},
	"back end promises falsely": {
		kind: route.KindOnce, steps: []step{{status: 503, implies: ImpliesNotRun}},
		want: loggedEnding{Ending: EndingRefused, Cause: CauseFalsePromise, By: PartyBackEnd, MayHaveRun: true},
	},
	"event cannot be written": {
		kind: route.KindStream, steps: []step{{body: eventOne}}, disconnected: true,
		want: loggedEnding{Ending: EndingCallerLeft, Cause: CauseWriteFailed, By: PartyCaller, MayHaveRun: true},
	},
	"answer cannot be written": {
		kind: route.KindOnce, steps: []step{{}}, disconnected: true,
		want: loggedEnding{Ending: EndingCallerLeft, Cause: CauseWriteFailed, By: PartyCaller, MayHaveRun: true},
	},
	"caller leaves": {
		kind: route.KindOnce, steps: []step{{hold: true}}, contextCause: errCut,
		want: loggedEnding{Ending: EndingCallerLeft, Cause: CauseCallerLeft, By: PartyCaller, MayHaveRun: true},
	},
	"caller leaves before its turn is granted": {
		kind: route.KindStream, kept: true, contextCause: errCut,
		prepare: func(h *harness) { h.relay.Ledger = &fakeLedger{err: heldUp(admission.ShardMoving, 0)} },
		want:    loggedEnding{Ending: EndingCallerLeft, Cause: CauseCallerLeft, By: PartyCaller},
	},
	"deadline passes": {
		kind: route.KindOnce, steps: []step{{hold: true}},
		want: loggedEnding{Ending: EndingRefused, Cause: Cause(ReasonTimeout), By: PartyDaemon, MayHaveRun: true},
	},
	"caller leaves before the turn is stored": {
		kind: route.KindStream, kept: true, steps: []step{{body: eventOne}}, contextCause: errCut,
		want: loggedEnding{Ending: EndingCallerLeft, Cause: CauseRecordCallerLeft, By: PartyCaller, Events: 1, MayHaveRun: true},
	},
	"shutdown deadline before the turn is stored": {
		kind: route.KindStream, kept: true, steps: []step{{body: eventOne}}, contextCause: ErrShutdownDeadline,
		want: loggedEnding{Ending: EndingBrokenOff, Cause: CauseRecordShutdownDeadline, By: PartyDaemon, Events: 1, MayHaveRun: true},
	},
	"deadline passes before the turn is stored": {
		kind: route.KindStream, kept: true, steps: []step{{body: eventOne}},
		want: loggedEnding{Ending: EndingBrokenOff, Cause: CauseRecordTimeOver, By: PartyDaemon, Events: 1, MayHaveRun: true},
	},
	"previous turn is unknown to the ledger": {
		kind: route.KindStream, kept: true, steps: []step{{body: eventOne}},
		prepare: func(h *harness) { h.relay.Ledger = &fakeLedger{endErr: ledger.ErrUnknownTurn} },
		want:    loggedEnding{Ending: EndingBrokenOff, Cause: CauseRecordUnknownTurn, By: PartyDaemon, Events: 1, MayHaveRun: true},
	},
	"record memory is full": {
		kind: route.KindStream, kept: true, steps: []step{{body: eventOne}},
		prepare: func(h *harness) { h.fillRecordMemory(2) },
		want:    loggedEnding{Ending: EndingBrokenOff, Cause: CauseRecordMemory, By: PartyDaemon, Events: 1, MayHaveRun: true},
	},
	"caller leaves while the record memory is full": {
		kind: route.KindStream, kept: true, steps: []step{{body: eventOne}}, contextCause: errCut,
		prepare: func(h *harness) { h.fillRecordMemory(2) },
		want:    loggedEnding{Ending: EndingCallerLeft, Cause: CauseRecordCallerLeft, By: PartyCaller, Events: 1, MayHaveRun: true},
	},
}

// fillRecordMemory sets the limit of the memory for records and fills it, so that the next
// turn has to wait.
func (h *harness) fillRecordMemory(limit int64) {
	h.relay.MaxPendingRecordBytes = limit
	_ = h.relay.pendingRecords.acquire(h.t.Context(), 1, limit) // the memory is empty
}

// run serves the call and returns its logged endings.
func (c endingCase) run(t *testing.T) []loggedEnding {
	h := newHarness(t, c.steps...)
	h.relay.StoppingSince = func() (time.Time, bool) { return time.Now(), c.contextCause == ErrShutdownDeadline }
	lines := &bytes.Buffer{}
	h.relay.Logger = zerolog.New(zerolog.SyncWriter(lines))
	r := newRoute(c.kind)
	r.Resumable, r.RetainContext = !c.once, c.kept
	call := newCall(r)
	if c.kept {
		call = newTurn(r)
		h.relay.Ledger = &slowLedger{takes: time.Minute}
	}
	if c.prepare != nil {
		c.prepare(h)
	}
	ctx, end := context.WithCancelCause(t.Context())
	defer end(nil)
	if c.contextCause != nil {
		time.AfterFunc(time.Second, func() { end(c.contextCause) })
	}
	h.relay.Serve(ctx, call, &recorder{disconnected: c.disconnected})
	h.relay.Wait(t.Context())
	if c.contextCause == ErrShutdownDeadline {
		expectParts(t, lines.String(), `"stopping_for":0`)
	}
	return endingsIn(t, lines)[call.ID]
}

func TestEndingLogsCauseAndParty(t *testing.T) {
	for name, test := range endingCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				test.want.Request = "q"
				if diff := cmp.Diff([]loggedEnding{test.want}, test.run(t)); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
			})
		})
	}
}

func TestCallWithoutEndingIsBrokenOffAndCounted(t *testing.T) {
	for fault, serve := range map[handlingFault]func(Responder){
		faultNoEnding:     func(Responder) {},
		faultPanic:        func(Responder) { panic("fault") },
		faultSecondEnding: func(out Responder) { out.Abort(); out.Refuse(stoppingRefusal) },
	} {
		h := newHarness(t)
		got := &recorder{}
		h.relay.EnsureEnding(t.Context(), "q", got, serve)
		if got.endings != 1 || !got.aborted {
			t.Errorf("%s: %+v", fault, got)
		}
		if sumOf(h.relay.Metrics.faults.WithLabelValues(string(fault))) != 1 || sumOf(h.relay.Metrics.open) != 0 {
			t.Errorf("%s: fault is not counted", fault)
		}
		h.metrics = nil // these faults are expected
	}
}

// panickingLedger panics when a kept turn is stored.
type panickingLedger struct{ fakeLedger }

func (l *panickingLedger) End(ctx context.Context, outcome ledger.Outcome) error {
	if outcome.Kept != nil {
		panic("fault")
	}
	return l.fakeLedger.End(ctx, outcome)
}

// panickingResponder panics at an event.
type panickingResponder struct{ recorder }

func (*panickingResponder) Event([]byte) error { panic("fault") }

// After a panic the instance's load and the record memory are released, and the turn is
// settled.
func TestPanicReleasesInstanceAndSettlesTurn(t *testing.T) {
	for name, test := range map[string]struct {
		caller Responder
		events int64
		onSend func()
	}{
		"in an offer":   {caller: &recorder{}, onSend: func() { panic("fault") }},
		"in an event":   {caller: &panickingResponder{}, events: 1},
		"in the record": {caller: &recorder{}, events: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, _, call := newRecordingHarness(t, 0)
				kept := &panickingLedger{}
				h.relay.Ledger, h.relay.MaxPendingRecordBytes, h.driver.onSend = kept, 100, test.onSend
				h.relay.Serve(t.Context(), call, test.caller)
				h.relay.Wait(t.Context())
				if loads := h.pool.Loads(); len(loads) != 0 || len(h.relay.monitor.offers) != 0 {
					t.Errorf("an offer is still counted: %v", loads)
				}
				if h.relay.pendingRecords.held != 0 {
					t.Error("memory for its record is still held")
				}
				if len(kept.outcomes) != 1 || kept.outcomes[0].UsedTokens != test.events*4 {
					t.Errorf("outcomes: %+v", kept.outcomes)
				}
				if sumOf(h.relay.Metrics.faults) != 1 {
					t.Error("the fault is not counted")
				}
				h.metrics = nil // the fault is expected
			})
		})
	}
}
