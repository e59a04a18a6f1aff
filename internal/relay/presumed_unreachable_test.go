package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/route"
)

// pausingDriver simulates a back end that answers with events, pauses for enginePause after
// half of them, as engines do that process long prompts, and then completes the answer.
type pausingDriver struct {
	// connect is the result of new connections; existing ones stay open.
	connect func(ctx context.Context) error
	sends   int
	// onPause is called when the pause begins.
	onPause func()
}

const (
	enginePause  = 1500 * time.Millisecond
	engineEvents = 10
	wholeAnswer  = engineEvents * len("data: x\n\n")
)

// Send implements Driver.
func (d *pausingDriver) Send(ctx context.Context, to instance.Instance, _ *OutgoingCall) (*Answer, error) {
	d.sends++
	answer := &Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(&pausingBody{ctx: ctx, d: d})}
	if to.Zone == near {
		answer.Body = io.NopCloser(strings.NewReader(strings.Repeat("data: x\n\n", engineEvents)))
	}
	return answer, nil
}

// HoldConnection implements Driver.
func (*pausingDriver) HoldConnection(ctx context.Context, _ instance.Instance) error {
	<-ctx.Done()
	return nil
}

// ConnectToLiving implements Driver.
func (d *pausingDriver) ConnectToLiving(ctx context.Context, to instance.Instance) error {
	return d.Connect(ctx, to, 0)
}

// Connect implements Driver.
func (d *pausingDriver) Connect(ctx context.Context, _ instance.Instance, _ int) error {
	return d.connect(ctx)
}

type pausingBody struct {
	ctx  context.Context
	d    *pausingDriver
	sent int
}

func (b *pausingBody) Read(buffer []byte) (int, error) {
	if b.sent == engineEvents {
		return 0, io.EOF
	}
	wait := eventPause
	if b.sent++; b.sent == engineEvents/2 {
		wait = enginePause
		b.d.onPause()
	}
	pause(b.ctx, wait)
	if b.ctx.Err() != nil {
		return 0, b.ctx.Err()
	}
	return copy(buffer, "data: x\n\n"), nil
}

func accept(context.Context) error { return nil }

func refuse(context.Context) error { return httpconn.ErrRefused }

func hang(ctx context.Context) error {
	<-ctx.Done()
	return httpconn.ErrNotSent
}

// falseSuspicions are the situations in planned operations in which a healthy back end
// looks unreachable.
var falseSuspicions = map[string]struct {
	connect func(context.Context) error
	begin   func(*zonesHarness)
}{
	"shutting down, refuses connections":      {connect: refuse},
	"connection queue full":                   {connect: hang},
	"full, resets accepted connections":       {connect: accept},
	"all daemons of its zone restart":         {accept, func(h *zonesHarness) { h.daemonsSilent.Store(true) }},
	"entry of a successor at another address": {accept, func(h *zonesHarness) { h.pool.Replace(successors(200, 1, "a:3")) }},
	"entry of a predecessor after its start": {accept, func(h *zonesHarness) {
		h.pool.Replace(successors(50, 1, "a:1"))
		h.pool.Replace(successors(50, 2, "a:1"))
	}},
}

// successors returns the entries of the two back ends. The far one has an incarnation other
// than the one that serves.
func successors(incarnation, sequence int64, address string) []instance.Instance {
	return []instance.Instance{
		{ID: instance.RunID("far", incarnation), Sequence: sequence, Service: "s", Address: address, Zone: far, Slots: 4, State: instance.StateReady},
		{ID: "near", Service: "s", Address: "a:2", Zone: near, Slots: 4, State: instance.StateReady},
	}
}

// serveSuspected serves a call at a healthy back end that is suspected to be unreachable.
func serveSuspected(t *testing.T, r *route.Route, suspicion string, alone bool) (*recorder, *pausingDriver) {
	h, _ := newZonesHarness(t, true)
	driver := &pausingDriver{connect: falseSuspicions[suspicion].connect, onPause: func() {
		if begin := falseSuspicions[suspicion].begin; begin != nil {
			begin(h)
		}
	}}
	options := h.relay.Options
	options.Driver = driver
	h.relay = New(options)
	for range 20 {
		h.relay.serving.observe("r", servingTime{untilFirst: 50 * time.Millisecond, total: 100 * time.Millisecond})
	}
	entries := successors(100, 1, "a:1")
	if alone {
		entries = entries[:1]
	}
	h.pool.Replace(entries)
	ctx, stop := context.WithCancel(t.Context())
	go h.watch(ctx)
	got := h.serve(newCall(r))
	stop()
	time.Sleep(2 * probeTimeout) // until the last probe ended
	return got, driver
}

// expectWholeAnswer checks that a call was sent once and its whole answer was passed on.
func expectWholeAnswer(t *testing.T, got *recorder, driver *pausingDriver) {
	t.Helper()
	if got.body.Len() != wholeAnswer || got.aborted || got.refusal != nil || driver.sends != 1 {
		t.Errorf("%d of %d bytes, aborted %t, refused with %+v, sent %d times",
			got.body.Len(), wholeAnswer, got.aborted, got.refusal, driver.sends)
	}
}

// Guards against closing the connection of a back end that pauses for longer than
// silentMargin and only looks unreachable: its answers were cut off, and calls that may run
// once ended with 502.
func TestAnswerOfBackEndPresumedUnreachableIsPassedOn(t *testing.T) {
	stream := newRoute(route.KindStream)
	stream.Resumable = false
	for _, r := range []*route.Route{newRoute(route.KindOnce), stream} {
		for suspicion := range falseSuspicions {
			t.Run(string(r.Kind)+"/"+suspicion, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					got, driver := serveSuspected(t, r, suspicion, false)
					expectWholeAnswer(t, got, driver)
				})
			})
		}
	}
}

// Guards against moving repeatable requests away from a back end that is shutting down: a
// machine that refuses connections is reachable and would reset those of an exited process.
func TestRequestStaysAtBackEndThatStoppedListening(t *testing.T) {
	for _, kind := range []route.Kind{route.KindRepeatable, route.KindStream} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got, driver := serveSuspected(t, newRoute(kind), "shutting down, refuses connections", false)
				expectWholeAnswer(t, got, driver)
			})
		})
	}
}

// The back end keeps its requests and gets no new ones. It is probed rarely, as each probe
// takes a place in the connection queue of a full back end.
func TestBackEndPresumedUnreachableGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, driver := newZonesHarness(t, true)
		driver.instanceUnreachable, driver.acknowledgesOnly = true, true
		ctx, stop := context.WithCancel(t.Context())
		go h.answerFar(ctx)
		time.AfterFunc(cutDelay+time.Second, func() {
			if got := h.picks()["far"]; got != 0 {
				t.Errorf("the back end got %d of 60 requests", got)
			}
		})
		h.serveDuringCut(newCall(newRoute(route.KindOnce)))
		if connects := driver.connects.Load(); connects > 22 {
			t.Errorf("%d connection attempts in 20 s", connects)
		}
		stop()
		time.Sleep(2 * probeTimeout)
	})
}

// Guards against ending a repeatable request when no other back end can take it or its
// route allows no further attempt.
func TestRequestWithoutAlternativeIsNotGivenUp(t *testing.T) {
	once := newRoute(route.KindStream)
	once.MaxAttempts = 1
	for name, test := range map[string]struct {
		route *route.Route
		alone bool
	}{
		"no other back end":        {newRoute(route.KindStream), true},
		"no further attempt":       {once, false},
		"plain, no other back end": {newRoute(route.KindRepeatable), true},
		"plain, no more runs":      {&route.Route{Name: "r", Kind: route.KindRepeatable, MaxAttempts: 1, Services: once.Services}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got, driver := serveSuspected(t, test.route, "connection queue full", test.alone)
				expectWholeAnswer(t, got, driver)
			})
		})
	}
}
