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

// pausingDriver is a back end that answers with events, pauses for enginePause after the first
// half of them while it reads others' prompts, and then goes on to the end.
type pausingDriver struct {
	// connect is what becomes of new connections; those in use last.
	connect func(ctx context.Context) error
	sends   int
	// doubted is called when the pause begins.
	doubted func()
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
		b.d.doubted()
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

// doubts are what planned work lets a sound back end look like.
var doubts = map[string]struct {
	connect func(context.Context) error
	begin   func(*zonesHarness)
}{
	"it leaves, and listens no more":              {connect: refuse},
	"its queue of new connections is full":        {connect: hang},
	"it is full, and resets what it has accepted": {connect: accept},
	"all daemons of its zone start again":         {accept, func(h *zonesHarness) { h.deaf.Store(true) }},
	"its successor writes from another address":   {accept, func(h *zonesHarness) { h.pool.Replace(successors(200, 1, "a:3")) }},
	"its predecessor writes on after it has begun": {accept, func(h *zonesHarness) {
		h.pool.Replace(successors(50, 1, "a:1"))
		h.pool.Replace(successors(50, 2, "a:1"))
	}},
}

// successors are the entries of the two back ends, of which the far one has a run of another
// incarnation than the one that serves.
func successors(incarnation, sequence int64, address string) []instance.Instance {
	return []instance.Instance{
		{ID: instance.RunID("far", incarnation), Sequence: sequence, Service: "s", Address: address, Zone: far, Slots: 4, State: instance.StateReady},
		{ID: "near", Service: "s", Address: "a:2", Zone: near, Slots: 4, State: instance.StateReady},
	}
}

// serveDoubted serves a call at a sound back end that is doubted.
func serveDoubted(t *testing.T, r *route.Route, doubt string, alone bool) (*recorder, *pausingDriver) {
	h, _ := newZonesHarness(t, true)
	driver := &pausingDriver{connect: doubts[doubt].connect, doubted: func() {
		if begin := doubts[doubt].begin; begin != nil {
			begin(h)
		}
	}}
	options := h.relay.Options
	options.Driver = driver
	h.relay = New(options)
	for range 20 {
		h.relay.serving.note("r", servingTime{first: 50 * time.Millisecond, whole: 100 * time.Millisecond})
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
	time.Sleep(2 * probeTimeout) // the last probe ends
	return got, driver
}

// wantWhole checks that a call was sent once and its whole answer passed on.
func wantWhole(t *testing.T, got *recorder, driver *pausingDriver) {
	t.Helper()
	if got.body.Len() != wholeAnswer || got.aborted || got.refusal != nil || driver.sends != 1 {
		t.Errorf("%d of %d bytes, aborted %t, refused with %+v, sent %d times",
			got.body.Len(), wholeAnswer, got.aborted, got.refusal, driver.sends)
	}
}

// TestAnswerOfADoubtedBackEndIsPassedOn: during planned work answers were cut in the middle, and
// calls that must not run twice were ended with 502. The back end had paused for more than 0.3 s
// beyond its pace, as model engines do that read a long prompt. It also looked as if nobody could
// reach it: it was leaving and listened no more, its queue of new connections was full, the daemons
// of its zone were being restarted, or an entry under its name told of another run. The
// connection was closed on that belief, though the answer went on to come on it.
func TestAnswerOfADoubtedBackEndIsPassedOn(t *testing.T) {
	stream := newRoute(route.KindStream)
	stream.Resumable = false
	for _, r := range []*route.Route{newRoute(route.KindOnce), stream} {
		for doubt := range doubts {
			t.Run(string(r.Kind)+"/"+doubt, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					got, driver := serveDoubted(t, r, doubt, false)
					wantWhole(t, got, driver)
				})
			})
		}
	}
}

// TestRequestStaysAtABackEndThatListensNoMore: requests that may run again were moved off back ends
// that leave, and their prompts read twice. A machine that refuses connections is there, and closes
// those of a process that ended.
func TestRequestStaysAtABackEndThatListensNoMore(t *testing.T) {
	for _, kind := range []route.Kind{route.KindRepeatable, route.KindStream} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got, driver := serveDoubted(t, newRoute(kind), "it leaves, and listens no more", false)
				wantWhole(t, got, driver)
			})
		})
	}
}

// TestDoubtedBackEndGetsNoNewRequests: it keeps what it has, and others get the rest. It is tried
// only now and then, as each try costs a back end that is full a place in its queue.
func TestDoubtedBackEndGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, driver := newZonesHarness(t, true)
		driver.dark, driver.hangs = true, true
		ctx, stop := context.WithCancel(t.Context())
		go h.answerFar(ctx)
		time.AfterFunc(cutAt+time.Second, func() {
			if got := h.picks()["far"]; got != 0 {
				t.Errorf("it got %d of 60 requests", got)
			}
		})
		h.hangs(newCall(newRoute(route.KindOnce)))
		if tries := driver.tries.Load(); tries > 22 {
			t.Errorf("%d tries to connect in 20 s", tries)
		}
		stop()
		time.Sleep(2 * probeTimeout)
	})
}

// TestAnswerThatNobodyElseCanGiveIsWaitedFor: a request that may run again was ended, too, where no
// other back end took it, or its route allowed no further one.
func TestAnswerThatNobodyElseCanGiveIsWaitedFor(t *testing.T) {
	once := newRoute(route.KindStream)
	once.MaxAttempts = 1
	for name, test := range map[string]struct {
		route *route.Route
		alone bool
	}{
		"no other back end":   {newRoute(route.KindStream), true},
		"no further attempt":  {once, false},
		"plain, nobody else":  {newRoute(route.KindRepeatable), true},
		"plain, no more runs": {&route.Route{Name: "r", Kind: route.KindRepeatable, MaxAttempts: 1, Services: once.Services}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got, driver := serveDoubted(t, test.route, "its queue of new connections is full", test.alone)
				wantWhole(t, got, driver)
			})
		})
	}
}
