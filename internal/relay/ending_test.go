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

// loggedEnding is what the log tells of a call that was not answered.
type loggedEnding struct {
	Request    string     `json:"request"`
	Ending     EndingKind `json:"ending"`
	Cause      Cause      `json:"cause"`
	By         Party      `json:"ended_by"`
	Events     int        `json:"events"`
	MayHaveRun bool       `json:"may_have_run"`
}

// endingsIn reads the endings of a log by call.
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

// endingCase is a call, and what is told of its ending.
type endingCase struct {
	kind route.Kind
	// once: the stream may not be taken up. kept: it is a turn whose record takes longer
	// than its caller waits.
	once, kept bool
	steps      []step
	// prepare, if given, changes the harness.
	prepare func(*harness)
	gone    bool
	// leaves, if given, ends the call's context after a second.
	leaves error
	want   loggedEnding
}

var endingCases = map[string]endingCase{
	"back end breaks a stream off": {
		kind: route.KindStream, once: true, steps: []step{{body: eventOne, cut: true}},
		want: loggedEnding{Ending: EndingBrokenOff, Cause: CauseBackEndBroke, By: PartyBackEnd, Events: 1, MayHaveRun: true},
	},
	"back end fails to take a stream up": {
		kind: route.KindStream, steps: []step{{body: eventOne, cut: true}, {status: 500}},
		want: loggedEnding{Ending: EndingBrokenOff, Cause: CauseBackEndFailed, By: PartyBackEnd, Events: 1, MayHaveRun: true},
	},
	"nobody takes a stream up": {
		kind: route.KindStream, steps: []step{{body: eventOne, cut: true}, {notRun: true, status: 503}},
		want: loggedEnding{Ending: EndingBrokenOff, Cause: Cause(ReasonFull), By: PartyDaemon, Events: 1, MayHaveRun: true},
	},
	"back end breaks an answer off": {
		kind: route.KindOnce, steps: []step{{body: "half", cut: true}},
		want: loggedEnding{Ending: EndingRefused, Cause: Cause(ReasonBroken), By: PartyBackEnd, MayHaveRun: true},
	},
	"back end breaks a failure off where a stream is due": {
		kind: route.KindStream, steps: []step{{status: 500, body: "half", cut: true}},
		want: loggedEnding{Ending: EndingRefused, Cause: CauseBackEndBroke, By: PartyBackEnd, MayHaveRun: true},
	},
	"back end has started again": {
		kind: route.KindOnce, steps: []step{{hold: true}},
		prepare: func(h *harness) {
			h.pool.Replace(restartedRun(100))
			time.AfterFunc(time.Second, func() { h.pool.Replace(restartedRun(200)) })
			time.AfterFunc(2*time.Second, func() { h.relay.GiveUpSilent(time.Now()) })
		},
		want: loggedEnding{Ending: EndingRefused, Cause: CauseBackEndGivenUp, By: PartyDaemon, MayHaveRun: true},
	},
	"back end promises falsely": {
		kind: route.KindOnce, steps: []step{{status: 503, sounds: true}},
		want: loggedEnding{Ending: EndingRefused, Cause: CauseFalsePromise, By: PartyBackEnd, MayHaveRun: true},
	},
	"event does not reach its caller": {
		kind: route.KindStream, steps: []step{{body: eventOne}}, gone: true,
		want: loggedEnding{Ending: EndingCallerLeft, Cause: CauseWriteFailed, By: PartyCaller, MayHaveRun: true},
	},
	"answer does not reach its caller": {
		kind: route.KindOnce, steps: []step{{}}, gone: true,
		want: loggedEnding{Ending: EndingCallerLeft, Cause: CauseWriteFailed, By: PartyCaller, MayHaveRun: true},
	},
	"caller leaves": {
		kind: route.KindOnce, steps: []step{{hold: true}}, leaves: errCut,
		want: loggedEnding{Ending: EndingCallerLeft, Cause: CauseCallerLeft, By: PartyCaller, MayHaveRun: true},
	},
	"caller leaves before its turn is granted": {
		kind: route.KindStream, kept: true, leaves: errCut,
		prepare: func(h *harness) { h.relay.Ledger = &fakeLedger{err: heldUp(admission.ShardMoving, 0)} },
		want:    loggedEnding{Ending: EndingCallerLeft, Cause: CauseCallerLeft, By: PartyCaller},
	},
	"time is over": {
		kind: route.KindOnce, steps: []step{{hold: true}},
		want: loggedEnding{Ending: EndingRefused, Cause: Cause(ReasonTimeout), By: PartyDaemon, MayHaveRun: true},
	},
	"caller leaves before the record": {
		kind: route.KindStream, kept: true, steps: []step{{body: eventOne}}, leaves: errCut,
		want: loggedEnding{Ending: EndingCallerLeft, Cause: CauseRecordCallerLeft, By: PartyCaller, Events: 1, MayHaveRun: true},
	},
	"stop is at its bound before the record": {
		kind: route.KindStream, kept: true, steps: []step{{body: eventOne}}, leaves: ErrShutdownDeadline,
		want: loggedEnding{Ending: EndingBrokenOff, Cause: CauseRecordShutdownDeadline, By: PartyDaemon, Events: 1, MayHaveRun: true},
	},
	"time is over before the record": {
		kind: route.KindStream, kept: true, steps: []step{{body: eventOne}},
		want: loggedEnding{Ending: EndingBrokenOff, Cause: CauseRecordTimeOver, By: PartyDaemon, Events: 1, MayHaveRun: true},
	},
	"record's chain is not known": {
		kind: route.KindStream, kept: true, steps: []step{{body: eventOne}},
		prepare: func(h *harness) { h.relay.Ledger = &fakeLedger{endErr: ledger.ErrUnknownTurn} },
		want:    loggedEnding{Ending: EndingBrokenOff, Cause: CauseRecordUnknownTurn, By: PartyDaemon, Events: 1, MayHaveRun: true},
	},
	"no memory to wait for the record": {
		kind: route.KindStream, kept: true, steps: []step{{body: eventOne}},
		prepare: func(h *harness) { h.fillRecordRoom(2) },
		want:    loggedEnding{Ending: EndingBrokenOff, Cause: CauseRecordMemory, By: PartyDaemon, Events: 1, MayHaveRun: true},
	},
	"caller leaves while there is no memory to wait for the record": {
		kind: route.KindStream, kept: true, steps: []step{{body: eventOne}}, leaves: errCut,
		prepare: func(h *harness) { h.fillRecordRoom(2) },
		want:    loggedEnding{Ending: EndingCallerLeft, Cause: CauseRecordCallerLeft, By: PartyCaller, Events: 1, MayHaveRun: true},
	},
}

// fillRecordRoom sets the memory for records, so small that the next turn has to wait.
func (h *harness) fillRecordRoom(limit int64) {
	h.relay.MaxPendingRecordBytes = limit
	_ = h.relay.recording.acquire(h.t.Context(), 1, limit) // there is room
}

// play carries the call and returns what is told of its ending.
func (c endingCase) play(t *testing.T) []loggedEnding {
	h := newHarness(t, c.steps...)
	h.relay.StoppingSince = func() (time.Time, bool) { return time.Now(), c.leaves == ErrShutdownDeadline }
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
	if c.leaves != nil {
		time.AfterFunc(time.Second, func() { end(c.leaves) })
	}
	h.relay.Serve(ctx, call, &recorder{gone: c.gone})
	h.relay.Wait(t.Context())
	if c.leaves == ErrShutdownDeadline {
		expectParts(t, lines.String(), `"stopping_for":0`)
	}
	return endingsIn(t, lines)[call.ID]
}

func TestEndingTellsWhyAndByWhom(t *testing.T) {
	for name, test := range endingCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				test.want.Request = "q"
				if diff := cmp.Diff([]loggedEnding{test.want}, test.play(t)); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
			})
		})
	}
}

func TestCallThatItsHandlerLeavesIsBrokenOffAndCounted(t *testing.T) {
	for fault, serve := range map[handlingFault]func(Responder){
		faultNoEnding:     func(Responder) {},
		faultPanic:        func(Responder) { panic("fault") },
		faultSecondEnding: func(out Responder) { out.Abort(); out.Refuse(stopping) },
	} {
		h := newHarness(t)
		got := &recorder{}
		h.relay.EnsureEnding(t.Context(), "q", got, serve)
		if got.endings != 1 || !got.aborted {
			t.Errorf("%s: %+v", fault, got)
		}
		if sumOf(h.relay.Metrics.faults.WithLabelValues(string(fault))) != 1 || sumOf(h.relay.Metrics.open) != 0 {
			t.Errorf("%s: is not counted", fault)
		}
		h.metrics = nil // their faults are meant
	}
}

// panickingLedger fails at the record of a kept turn.
type panickingLedger struct{ fakeLedger }

func (l *panickingLedger) End(ctx context.Context, outcome ledger.Outcome) error {
	if outcome.Kept != nil {
		panic("fault")
	}
	return l.fakeLedger.End(ctx, outcome)
}

// panickingResponder fails at an event.
type panickingResponder struct{ recorder }

func (*panickingResponder) Event([]byte) error { panic("fault") }

// TestPanicLeavesNothingBehind: the offer under way is released, and the turn is settled.
func TestPanicLeavesNothingBehind(t *testing.T) {
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
				h, _, call := newRecording(t, 0)
				kept := &panickingLedger{}
				h.relay.Ledger, h.relay.MaxPendingRecordBytes, h.driver.onSend = kept, 100, test.onSend
				h.relay.Serve(t.Context(), call, test.caller)
				h.relay.Wait(t.Context())
				if loads := h.pool.Loads(); len(loads) != 0 || len(h.relay.monitor.offers) != 0 {
					t.Errorf("an offer is still counted: %v", loads)
				}
				if h.relay.recording.held != 0 {
					t.Error("room for its record is still held")
				}
				if len(kept.outcomes) != 1 || kept.outcomes[0].UsedTokens != test.events*4 {
					t.Errorf("outcomes: %+v", kept.outcomes)
				}
				if sumOf(h.relay.Metrics.faults) != 1 {
					t.Error("the fault is not counted")
				}
				h.metrics = nil // it is meant
			})
		})
	}
}
