package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/instance/distance"
	"github.com/mintpulley/mintpulley/internal/ledger"
	"github.com/mintpulley/mintpulley/internal/route"
	"github.com/mintpulley/mintpulley/internal/zone"
)

const (
	near, far = "z", "y"
	cutAt     = 2 * time.Second
	// provedAfter is how long after a cut the system fails a connection that waits for an
	// answer, as package httpconn sets it up, and connectBound how long connecting takes at most:
	// longer than it takes to find a zone cut off.
	provedAfter  = 3100 * time.Millisecond
	connectBound = time.Second
)

// zonesHarness is a relay in zone near with an instance there and one in zone far,
// which is tried first. What is far can be cut off.
type zonesHarness struct {
	*harness
	zones *zone.Reachability
	// cut ends what comes from far, and deaf only what its daemons answer.
	cut, deaf, storeOut atomic.Bool
}

// farDriver answers at once in near. In far it sends an event each eventPause, and
// nothing while far is cut off.
type farDriver struct {
	h *zonesHarness
	// unsent: requests to far are not even sent. resets: connections there are reset.
	unsent, resets bool
	// dark: the instance alone can not be reached. Its zone's daemons answer.
	dark bool
	// hangs: the instance says nothing, and its machine acknowledges what it gets.
	hangs  bool
	sentTo []string
	tries  atomic.Int64
}

const eventPause = 40 * time.Millisecond

func (d *farDriver) Send(ctx context.Context, to instance.Instance, _ *OutgoingCall) (*Answer, error) {
	d.sentTo = append(d.sentTo, to.ID)
	answer := &Answer{Status: http.StatusOK, Header: http.Header{}}
	if to.Zone == near {
		answer.Body = io.NopCloser(strings.NewReader("id: 9\ndata: near\n\n"))
		return answer, nil
	}
	if d.h.cut.Load() {
		switch {
		case d.unsent && !d.resets:
			pause(ctx, connectBound)
			return nil, httpconn.ErrNotSent
		case d.unsent:
			return nil, httpconn.ErrNotSent
		case !d.resets:
			d.awaitFailure(ctx)
		}
		return nil, httpconn.ErrBroken
	}
	answer.Body = io.NopCloser(&farBody{ctx: ctx, d: d, left: 200})
	return answer, nil
}

// awaitFailure waits until a connection on which nothing comes any more fails, or ctx ends.
func (d *farDriver) awaitFailure(ctx context.Context) {
	if d.hangs {
		<-ctx.Done()
		return
	}
	pause(ctx, provedAfter)
}

// Connect implements Driver.
func (d *farDriver) Connect(ctx context.Context, to instance.Instance, _ int) error {
	d.tries.Add(1)
	if to.Zone == far && d.dark && d.h.cut.Load() {
		if !d.resets {
			<-ctx.Done()
		}
		return httpconn.ErrNotSent
	}
	return nil
}

type farBody struct {
	ctx  context.Context
	d    *farDriver
	left int
}

func (b *farBody) Read(buffer []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	b.left--
	select {
	case <-time.After(eventPause):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	if b.d.h.cut.Load() {
		b.d.awaitFailure(b.ctx)
		return 0, errCut
	}
	return copy(buffer, "id: 1\ndata: far\n\n"), nil
}

func newZonesHarness(t *testing.T, watching bool) (*zonesHarness, *farDriver) {
	h := &zonesHarness{harness: newHarness(t, step{})}
	farFirst := distance.Scorer{Topology: zone.NewTopology(far, "", nil)}
	h.pool = instance.NewPool(rand.New(rand.NewPCG(1, 1)), instance.Plugins{Scorers: []instance.Scorer{farFirst}})
	h.pool.Replace([]instance.Instance{
		{ID: "far", Service: "s", Address: "a:1", Zone: far, Slots: 4, State: instance.StateReady},
		{ID: "near", Service: "s", Address: "a:2", Zone: near, Slots: 4, State: instance.StateReady},
	})
	driver := &farDriver{h: h}
	options := h.relay.Options
	options.Pool, options.Driver = h.pool, driver
	if watching {
		h.zones = zone.NewReachability(zone.NewTopology(near, "", map[string]string{far: ""}))
		h.zones.SetDaemonCount(near, 10)
		h.zones.SetDaemonCount(far, 10)
		options.Zones, options.RerouteTime = h.zones, 2500*time.Millisecond
	}
	h.relay = New(options)
	for range 20 { // what serving usually takes
		h.relay.serving.note("r", servingTime{first: 50 * time.Millisecond, whole: 100 * time.Millisecond})
		h.pool.RecordLatency("far", "r", eventPause)
	}
	return h, driver
}

// watch does for the test's time what the watch of the zones does.
func (h *zonesHarness) watch(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		plan := h.zones.Step(h.relay.UnresponsiveBackends(now), now)
		for name := range plan.Probe {
			if name == near || !h.cut.Load() && !h.deaf.Load() {
				h.zones.RecordProbeReply(name, now.Add(time.Millisecond))
			}
		}
		if plan.ProbeStore {
			h.zones.RecordStoreCall(!h.storeOut.Load(), now, now)
		}
		for _, name := range plan.Connect {
			h.relay.TryConnect(name)
		}
		h.relay.GiveUpSilent(now)
		pause(ctx, zone.StepInterval)
	}
}

// pause sleeps, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// hangs serves a call during which far is cut off, and returns how long it hung.
func (h *zonesHarness) hangs(call *Call) (*recorder, time.Duration) {
	ctx, cancel := context.WithCancel(h.t.Context())
	defer cancel()
	if h.zones != nil {
		go h.watch(ctx)
	}
	began := time.Now()
	time.AfterFunc(cutAt, func() { h.cut.Store(true) })
	time.Sleep(cutAt - 100*time.Millisecond)
	call.Received, call.Deadline = time.Now(), time.Now().Add(20*time.Second)
	got := h.serve(call)
	return got, time.Since(began) - cutAt
}

// TestRequestsInAZoneThatIsCutOffAreGivenUpEarly prints how long requests hang that
// wait for a back end when its zone is cut off, without the watch of the zones and
// with it. Those that only the back end can answer wait until their connection fails.
func TestRequestsInAZoneThatIsCutOffAreGivenUpEarly(t *testing.T) {
	once, repeatable, stream, resumable := newRoute(route.KindOnce), newRoute(route.KindRepeatable), newRoute(route.KindStream), newRoute(route.KindStream)
	stream.Resumable = false
	cases := []struct {
		name  string
		route *route.Route
		// moves: another back end may get it.
		moves bool
		check func(*recorder) bool
	}{
		{"unrepeatable", once, false, func(r *recorder) bool { return r.refusal != nil && r.refusal.Reason == ReasonBroken }},
		{"repeatable", repeatable, true, func(r *recorder) bool { return r.status == http.StatusOK }},
		{"stream", stream, false, func(r *recorder) bool { return r.aborted }},
		{"stream that may be taken up", resumable, true, func(r *recorder) bool { return r.ended && strings.HasSuffix(r.body.String(), "near\n\n") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var hung [2]time.Duration
			for i, watching := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) {
					h, _ := newZonesHarness(t, watching)
					var got *recorder
					got, hung[i] = h.hangs(newCall(c.route))
					if watching && !c.check(got) {
						t.Errorf("got %+v, refused with %+v", got, got.refusal)
					}
				})
			}
			t.Logf("%-30s hung %5d ms without, %4d ms with", c.name, hung[0].Milliseconds(), hung[1].Milliseconds())
			if c.moves && hung[1] > 800*time.Millisecond || !c.moves && !isOnProof(hung[1]) {
				t.Errorf("hung %s", hung[1])
			}
		})
	}
}

// isOnProof tells whether a request that hung for a time after a cut was ended by the failure of
// its connection, neither before that nor later.
func isOnProof(hung time.Duration) bool {
	return hung >= provedAfter && hung <= provedAfter+eventPause
}

func TestRequestThatWasNotSentToACutZoneGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, driver := newZonesHarness(t, true)
		driver.unsent = true
		h.cut.Store(true)
		got, _ := h.hangs(newCall(newRoute(route.KindOnce)))
		if got.status != http.StatusOK || len(driver.sentTo) != 2 {
			t.Errorf("status %d after %v", got.status, driver.sentTo)
		}
		if got := h.picks()["far"]; got == 0 {
			t.Error("the instance is passed over for a failure, which was its zone's")
		}
	})
}

// TestResetsOfAZoneDoNotSpeakAgainstItsInstances: a cut may reset connections.
func TestResetsOfAZoneDoNotSpeakAgainstItsInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, driver := newZonesHarness(t, true)
		driver.unsent, driver.resets, driver.dark = true, true, true
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go h.watch(ctx)
		h.cut.Store(true)
		h.serve(newCall(newRoute(route.KindOnce)))
		pause(ctx, time.Second)
		if !h.zones.IsCutOff(far) {
			t.Fatal("not found cut off")
		}
		for range 10 {
			h.serve(newCall(newRoute(route.KindOnce)))
			pause(ctx, 300*time.Millisecond)
		}
		h.cut.Store(false)
		pause(ctx, 500*time.Millisecond)
		if got := h.picks()["far"]; h.zones.IsCutOff(far) || got == 0 {
			t.Errorf("cut off: %v; it got %d of 60 requests after the cut", h.zones.IsCutOff(far), got)
		}
	})
}

// answerFar lets the daemons of far answer whatever happens to its back ends.
func (h *zonesHarness) answerFar(ctx context.Context) {
	for ctx.Err() == nil {
		h.zones.RecordProbeReply(far, time.Now())
		pause(ctx, 10*time.Millisecond)
	}
}

// TestInstanceThatIsNotReachedIsGivenUpEarly prints what
// TestRequestsInAZoneThatIsCutOffAreGivenUpEarly does, for an instance whose machine
// alone is cut off.
func TestInstanceThatIsNotReachedIsGivenUpEarly(t *testing.T) {
	for _, kind := range []route.Kind{route.KindOnce, route.KindRepeatable, route.KindStream} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, driver := newZonesHarness(t, true)
				driver.dark = true
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go h.answerFar(ctx)
				got, hung := h.hangs(newCall(newRoute(kind)))
				t.Logf("%-10s hung %4d ms", kind, hung.Milliseconds())
				inTime := hung <= 950*time.Millisecond
				if kind == route.KindOnce {
					inTime = isOnProof(hung)
				}
				if !inTime || h.zones.IsCutOff(far) {
					t.Errorf("hung %s; zone cut off: %v", hung, h.zones.IsCutOff(far))
				}
				if served := got.status == http.StatusOK; served != (kind != route.KindOnce) {
					t.Errorf("status %d, refused with %+v", got.status, got.refusal)
				}
				if got := h.picks()["far"]; got != 0 {
					t.Errorf("it got %d of 60 requests right after", got)
				}
				time.Sleep(probeTimeout)
			})
		})
	}
}

// TestZoneWhoseDaemonsAreGoneComesBack: its back ends can be connected to again.
func TestZoneWhoseDaemonsAreGoneComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, driver := newZonesHarness(t, true)
		driver.dark = true
		h.deaf.Store(true)
		h.hangs(newCall(newRoute(route.KindOnce)))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go h.watch(ctx)
		pause(ctx, 3*time.Second)
		if !h.zones.IsCutOff(far) {
			t.Error("not cut off any more while it is")
		}
		h.cut.Store(false)
		pause(ctx, 1500*time.Millisecond)
		if h.zones.IsCutOff(far) {
			t.Error("still cut off 1.5 s after the end")
		}
		cancel()
		pause(t.Context(), probeTimeout)
	})
}

// TestSilentBackEndAloneIsWaitedFor: it can be connected to, and the daemons of its
// zone answer.
func TestSilentBackEndAloneIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, driver := newZonesHarness(t, true)
		driver.hangs = true
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go h.answerFar(ctx)
		got, hung := h.hangs(newCall(newRoute(route.KindOnce)))
		if hung < 15*time.Second {
			t.Errorf("given up after %s: %+v", hung, got.refusal)
		}
		if tries := driver.tries.Load(); tries > 11 {
			t.Errorf("%d tries to connect in 20 s", tries)
		}
	})
}

// TestConnectionThatGetsSomethingIsNotGivenUp: only daemons are silent.
func TestConnectionThatGetsSomethingIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newZonesHarness(t, true)
		h.deaf.Store(true)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go h.watch(ctx)
		stream := newRoute(route.KindStream)
		stream.Resumable = false
		got := h.serve(newCall(stream))
		if !got.ended || h.zones.IsCutOff(far) {
			t.Errorf("ended: %v, cut off: %v", got.ended, h.zones.IsCutOff(far))
		}
	})
}

// isolate cuts the relay's daemon off.
func (h *zonesHarness) isolate(ctx context.Context) {
	h.cut.Store(true)
	h.storeOut.Store(true)
	go h.watch(ctx)
	go func() {
		for ctx.Err() == nil {
			h.zones.Suspect(far, time.Now())
			pause(ctx, zone.StepInterval)
		}
	}()
}

func keptTurn() *Call {
	r := newRoute(route.KindStream)
	r.RetainContext = true
	return newTurn(r)
}

func TestDaemonThatIsCutOffSendsTurnsAwayAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newZonesHarness(t, true)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		h.ledger.err = ledger.ErrUnavailable
		h.isolate(ctx)
		held := keptTurn()
		if got := h.serve(held); got.refusal == nil || got.refusal.Reason != ReasonCutOff {
			t.Fatalf("a turn that was held up: %+v", got.refusal)
		}
		if took := time.Since(held.Received); took > time.Second {
			t.Errorf("held for %s", took)
		}
		if len(h.ledger.abandoned) != 1 {
			t.Error("it was not abandoned: its tokens may stay reserved")
		}
		next := keptTurn()
		got := h.serve(next)
		if got.refusal == nil || got.refusal.Reason != ReasonCutOff || time.Since(next.Received) != 0 {
			t.Errorf("the next one after %s: %+v", time.Since(next.Received), got.refusal)
		}
		if after := got.refusal.RetryAfter; after < 2*time.Second || after > 2500*time.Millisecond {
			t.Errorf("to come back after %s", after)
		}
		h.ledger.setError(nil) // its holder grants from what it has
		if got := h.serve(newTurn(newRoute(route.KindStream))); !got.ended {
			t.Errorf("a turn whose caller keeps its text: %+v", got.refusal)
		}
		h.pool.Replace([]instance.Instance{{ID: "near", Service: "s", Address: "a:2", Zone: near, Slots: 4, State: instance.StateReady}})
		if got := h.serve(newCall(newRoute(route.KindOnce))); got.status != http.StatusOK {
			t.Errorf("a call that needs no record: %+v", got.refusal)
		}
		h.cut.Store(false)
		h.storeOut.Store(false)
		time.Sleep(500 * time.Millisecond)
		if got := h.serve(keptTurn()); !got.ended {
			t.Errorf("after the cut: %+v", got.refusal)
		}
	})
}
