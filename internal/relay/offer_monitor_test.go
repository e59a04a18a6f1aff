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
	cutDelay  = 2 * time.Second
	// connectionTimeout is how long after a cut the operating system fails a connection
	// that waits for an answer, as configured by package httpconn. connectTimeout bounds
	// the opening of a connection; it is longer than detecting that a zone is cut off
	// takes.
	connectionTimeout = 3100 * time.Millisecond
	connectTimeout    = time.Second
)

// zonesHarness is a relay in zone near with one instance there and one in zone far, which
// is preferred. Zone far can be cut off.
type zonesHarness struct {
	*harness
	zones *zone.Reachability
	// cut: nothing arrives from far. daemonsSilent: only the daemons of far do not answer.
	cut, daemonsSilent, storeUnavailable atomic.Bool
}

// farDriver answers at once in near. In far it sends an event every eventPause, and nothing
// while far is cut off.
type farDriver struct {
	h *zonesHarness
	// unsent: requests to far cannot be sent. resets: connections to far are reset.
	unsent, resets bool
	// instanceUnreachable: only the instance is unreachable; the daemons of its zone
	// answer.
	instanceUnreachable bool
	// acknowledgesOnly: the instance sends nothing, but its operating system acknowledges
	// received data.
	acknowledgesOnly bool
	sentTo           []string
	connects         atomic.Int64
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
			pause(ctx, connectTimeout)
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

// awaitFailure blocks until a connection that receives nothing fails, or ctx ends.
func (d *farDriver) awaitFailure(ctx context.Context) {
	if d.acknowledgesOnly {
		<-ctx.Done()
		return
	}
	pause(ctx, connectionTimeout)
}

// ConnectToLiving implements Driver.
func (d *farDriver) ConnectToLiving(ctx context.Context, to instance.Instance) error {
	return d.Connect(ctx, to, 0)
}

// HoldConnection implements Driver.
func (*farDriver) HoldConnection(ctx context.Context, _ instance.Instance) error {
	<-ctx.Done()
	return nil
}

// Connect implements Driver.
func (d *farDriver) Connect(ctx context.Context, to instance.Instance, _ int) error {
	d.connects.Add(1)
	if to.Zone == far && d.instanceUnreachable && d.h.cut.Load() {
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
	for range 20 { // the usual serving time
		h.relay.serving.observe("r", servingTime{untilFirst: 50 * time.Millisecond, total: 100 * time.Millisecond})
		h.pool.RecordLatency("far", "r", eventPause)
	}
	return h, driver
}

// watch does what reach.Monitor does.
func (h *zonesHarness) watch(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		plan := h.zones.Step(h.relay.UnresponsiveBackends(now), now)
		for name := range plan.Probe {
			if name == near || !h.cut.Load() && !h.daemonsSilent.Load() {
				h.zones.RecordProbeReply(name, now.Add(time.Millisecond))
			}
		}
		if plan.ProbeStore {
			h.zones.RecordStoreCall(!h.storeUnavailable.Load(), now, now)
		}
		for _, name := range plan.Connect {
			h.relay.TryConnect(name)
		}
		h.relay.GiveUpSilent(now)
		pause(ctx, zone.StepInterval)
	}
}

// pause sleeps for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// serveDuringCut serves a call while far is cut off, and returns how long after the cut it
// ended.
func (h *zonesHarness) serveDuringCut(call *Call) (*recorder, time.Duration) {
	ctx, cancel := context.WithCancel(h.t.Context())
	defer cancel()
	if h.zones != nil {
		go h.watch(ctx)
	}
	began := time.Now()
	time.AfterFunc(cutDelay, func() { h.cut.Store(true) })
	time.Sleep(cutDelay - 100*time.Millisecond)
	call.Received, call.Deadline = time.Now(), time.Now().Add(20*time.Second)
	got := h.serve(call)
	return got, time.Since(began) - cutDelay
}

// Logs how long requests wait for a back end whose zone is cut off, without and with the
// detection of cut-off zones. Requests that only this back end can answer wait until their
// connection fails.
func TestRequestsInCutOffZoneAreGivenUpEarly(t *testing.T) {
	once, repeatable, stream, resumable := newRoute(route.KindOnce), newRoute(route.KindRepeatable), newRoute(route.KindStream), newRoute(route.KindStream)
	stream.Resumable = false
	cases := []struct {
		name  string
		route *route.Route
		// moves: another back end may get the request.
		moves bool
		check func(*recorder) bool
	}{
		{"unrepeatable", once, false, func(r *recorder) bool { return r.refusal != nil && r.refusal.Reason == ReasonBroken }},
		{"repeatable", repeatable, true, func(r *recorder) bool { return r.status == http.StatusOK }},
		{"stream", stream, false, func(r *recorder) bool { return r.aborted }},
		{"resumable stream", resumable, true, func(r *recorder) bool { return r.ended && strings.HasSuffix(r.body.String(), "near\n\n") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var hung [2]time.Duration
			for i, watching := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) {
					h, _ := newZonesHarness(t, watching)
					var got *recorder
					got, hung[i] = h.serveDuringCut(newCall(c.route))
					if watching && !c.check(got) {
						t.Errorf("got %+v, refused with %+v", got, got.refusal)
					}
				})
			}
			t.Logf("%-30s hung %5d ms without, %4d ms with", c.name, hung[0].Milliseconds(), hung[1].Milliseconds())
			if c.moves && hung[1] > 800*time.Millisecond || !c.moves && !endedByConnectionTimeout(hung[1]) {
				t.Errorf("hung %s", hung[1])
			}
		})
	}
}

// endedByConnectionTimeout reports whether a request that ended this long after a cut was
// ended by the failure of its connection.
func endedByConnectionTimeout(hung time.Duration) bool {
	return hung >= connectionTimeout && hung <= connectionTimeout+eventPause
}

func TestUnsentRequestToCutOffZoneGoesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, driver := newZonesHarness(t, true)
		driver.unsent = true
		h.cut.Store(true)
		got, _ := h.serveDuringCut(newCall(newRoute(route.KindOnce)))
		if got.status != http.StatusOK || len(driver.sentTo) != 2 {
			t.Errorf("status %d after %v", got.status, driver.sentTo)
		}
		if got := h.picks()["far"]; got == 0 {
			t.Error("the failure of its zone counts against the instance")
		}
	})
}

// A cut may reset connections, which must not count against the zone's instances.
func TestResetsOfCutOffZoneDoNotCountAgainstInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, driver := newZonesHarness(t, true)
		driver.unsent, driver.resets, driver.instanceUnreachable = true, true, true
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go h.watch(ctx)
		h.cut.Store(true)
		h.serve(newCall(newRoute(route.KindOnce)))
		pause(ctx, time.Second)
		if !h.zones.IsCutOff(far) {
			t.Fatal("the zone is not detected as cut off")
		}
		for range 10 {
			h.serve(newCall(newRoute(route.KindOnce)))
			pause(ctx, 300*time.Millisecond)
		}
		h.cut.Store(false)
		pause(ctx, 500*time.Millisecond)
		if got := h.picks()["far"]; h.zones.IsCutOff(far) || got == 0 {
			t.Errorf("cut off: %v; the instance got %d of 60 requests after the cut", h.zones.IsCutOff(far), got)
		}
	})
}

// answerFar makes the daemons of far answer, whatever happens to its back ends.
func (h *zonesHarness) answerFar(ctx context.Context) {
	for ctx.Err() == nil {
		h.zones.RecordProbeReply(far, time.Now())
		pause(ctx, 10*time.Millisecond)
	}
}

// As TestRequestsInCutOffZoneAreGivenUpEarly, for a single instance whose machine is cut
// off.
func TestUnreachableInstanceIsGivenUpEarly(t *testing.T) {
	for _, kind := range []route.Kind{route.KindOnce, route.KindRepeatable, route.KindStream} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, driver := newZonesHarness(t, true)
				driver.instanceUnreachable = true
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go h.answerFar(ctx)
				got, hung := h.serveDuringCut(newCall(newRoute(kind)))
				t.Logf("%-10s hung %4d ms", kind, hung.Milliseconds())
				inTime := hung <= 950*time.Millisecond
				if kind == route.KindOnce {
					inTime = endedByConnectionTimeout(hung)
				}
				if !inTime || h.zones.IsCutOff(far) {
					t.Errorf("hung %s; zone cut off: %v", hung, h.zones.IsCutOff(far))
				}
				if served := got.status == http.StatusOK; served != (kind != route.KindOnce) {
					t.Errorf("status %d, refused with %+v", got.status, got.refusal)
				}
				if got := h.picks()["far"]; got != 0 {
					t.Errorf("the instance got %d of 60 requests right afterwards", got)
				}
				time.Sleep(probeTimeout)
			})
		})
	}
}

// A zone whose daemons do not answer counts as reachable once its back ends accept
// connections.
func TestZoneWithoutDaemonsBecomesReachableAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, driver := newZonesHarness(t, true)
		driver.instanceUnreachable = true
		h.daemonsSilent.Store(true)
		h.serveDuringCut(newCall(newRoute(route.KindOnce)))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go h.watch(ctx)
		pause(ctx, 3*time.Second)
		if !h.zones.IsCutOff(far) {
			t.Error("the zone is not detected as cut off any more although it is")
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

// A silent back end that accepts connections, in a zone whose daemons answer, is not given
// up.
func TestReachableSilentBackEndIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, driver := newZonesHarness(t, true)
		driver.acknowledgesOnly = true
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go h.answerFar(ctx)
		got, hung := h.serveDuringCut(newCall(newRoute(route.KindOnce)))
		if hung < 15*time.Second {
			t.Errorf("given up after %s: %+v", hung, got.refusal)
		}
		if connects := driver.connects.Load(); connects > 11 {
			t.Errorf("%d connection attempts in 20 s", connects)
		}
	})
}

// Guards against giving up a stream that still receives events when only the daemons of its
// zone are silent.
func TestActiveConnectionIsNotGivenUpWhenDaemonsAreSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newZonesHarness(t, true)
		h.daemonsSilent.Store(true)
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

// isolate cuts the relay's daemon off from the other zone and the store.
func (h *zonesHarness) isolate(ctx context.Context) {
	h.cut.Store(true)
	h.storeUnavailable.Store(true)
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

func TestIsolatedDaemonRefusesTurnsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newZonesHarness(t, true)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		h.ledger.err = ledger.ErrUnavailable
		h.isolate(ctx)
		held := keptTurn()
		if got := h.serve(held); got.refusal == nil || got.refusal.Reason != ReasonCutOff {
			t.Fatalf("held-up turn: refused with %+v", got.refusal)
		}
		if took := time.Since(held.Received); took > time.Second {
			t.Errorf("held for %s", took)
		}
		if len(h.ledger.abandoned) != 1 {
			t.Error("the turn was not abandoned: its tokens may stay reserved")
		}
		next := keptTurn()
		got := h.serve(next)
		if got.refusal == nil || got.refusal.Reason != ReasonCutOff || time.Since(next.Received) != 0 {
			t.Errorf("next turn after %s: refused with %+v", time.Since(next.Received), got.refusal)
		}
		if after := got.refusal.RetryAfter; after < 2*time.Second || after > 2500*time.Millisecond {
			t.Errorf("Retry-After %s", after)
		}
		h.ledger.setError(nil) // the shard's holder can grant without the store
		if got := h.serve(newTurn(newRoute(route.KindStream))); !got.ended {
			t.Errorf("turn without retained context: refused with %+v", got.refusal)
		}
		h.pool.Replace([]instance.Instance{{ID: "near", Service: "s", Address: "a:2", Zone: near, Slots: 4, State: instance.StateReady}})
		if got := h.serve(newCall(newRoute(route.KindOnce))); got.status != http.StatusOK {
			t.Errorf("call without a program: refused with %+v", got.refusal)
		}
		h.cut.Store(false)
		h.storeUnavailable.Store(false)
		time.Sleep(500 * time.Millisecond)
		if got := h.serve(keptTurn()); !got.ended {
			t.Errorf("turn after the cut: refused with %+v", got.refusal)
		}
	})
}
