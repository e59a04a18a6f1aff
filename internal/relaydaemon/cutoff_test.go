package relaydaemon

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/relay"
	"github.com/mintpulley/mintpulley/internal/route"
	"github.com/mintpulley/mintpulley/internal/warmup"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// reachabilityWithCut returns the reachability as seen by a daemon in zone a from which the given
// zones are cut off.
func reachabilityWithCut(cut ...string) *zone.Reachability {
	zones := zone.NewReachability(zone.NewTopology("a", "", map[string]string{"b": "", "c": ""}))
	for _, name := range []string{"a", "b", "c"} {
		zones.SetDaemonCount(name, 5)
	}
	simulateReach(zones, 600*time.Millisecond, cut...)
	return zones
}

// simulateReach simulates a span in which the back ends of some zones do not answer while others
// do. If there are silent zones, the store does not answer either.
func simulateReach(zones *zone.Reachability, length time.Duration, silentZones ...string) {
	waiting := map[string]zone.UnresponsiveBackends{}
	for _, name := range silentZones {
		waiting[name] = zone.UnresponsiveBackends{Overdue: 1, Silent: 1}
	}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(zone.StepInterval) {
		now := time.Now()
		plan := zones.Step(waiting, now)
		for name := range plan.Probe {
			if _, silent := waiting[name]; !silent {
				zones.RecordProbeReply(name, now.Add(1))
			}
		}
		if plan.ProbeStore {
			zones.RecordStoreCall(len(silentZones) == 0, now, now)
		}
	}
}

// countChoices counts how often each instance is chosen.
func countChoices(pool *instance.Pool, count int, excluded ...string) map[string]int {
	counts := map[string]int{}
	for range count {
		if chosen, found := pool.Take(instance.Query{Service: "s", Preferred: "i-b", Excluded: excluded}); found {
			counts[chosen.ID]++
			pool.Release(chosen.ID, instance.OutcomeAnswered)
		}
	}
	return counts
}

func TestNoRequestGoesToAZoneThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &Daemon{reachability: reachabilityWithCut("b"), coldLimiter: warmup.NewLimiter(warmup.Options{})}
		pool := instance.NewPool(rand.New(rand.NewPCG(1, 1)), d.placementPlugins())
		near := instance.Instance{ID: "i-a", Service: "s", Zone: "a", Slots: 4, State: instance.StateReady}
		there := instance.Instance{ID: "i-b", Service: "s", Zone: "b", Slots: 4, State: instance.StateReady}
		pool.Replace([]instance.Instance{near, there})
		if got := countChoices(pool, 50); got["i-b"] != 0 {
			t.Errorf("cut off: %v", got)
		}
		if got := countChoices(pool, 50, "i-a"); got["i-b"] != 50 {
			t.Errorf("no other instance: %v", got)
		}
		simulateReach(d.reachability, 250*time.Millisecond)
		if got := countChoices(pool, 50); d.reachability.IsCutOff("b") || got["i-b"] != 0 {
			t.Errorf("right after the cut, cut off %v: %v", d.reachability.IsCutOff("b"), got)
		}
		time.Sleep(zone.RampTime)
		if got := countChoices(pool, 50); got["i-b"] != 50 {
			t.Errorf("after the ramp: %v", got)
		}
	})
}

func TestDaemonThatIsCutOffIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newKeyDaemon(t, "key")
		d.reachability = reachabilityWithCut()
		if d.RedirectsCallers() {
			t.Fatal("redirects callers without a cut")
		}
		d.confirmRoutes(time.Now())
		simulateReach(d.reachability, time.Second, "b", "c")
		if !d.RedirectsCallers() || d.isReady() {
			t.Fatal("ready though it is cut off")
		}
		if !d.accepts(t, "key") {
			t.Error("a recently confirmed key is not accepted")
		}
		time.Sleep(d.settings.revocationTime())
		asked := time.Now()
		_, refusal := d.Identify(t.Context(), IdentifyQuery{Route: &route.Route{}, Key: "key", Left: 3 * time.Second})
		if refusal == nil || refusal.Reason != relay.ReasonKeysUnconfirmed || time.Since(asked) != 0 {
			t.Errorf("refused after %s: %+v", time.Since(asked), refusal)
		}
		simulateReach(d.reachability, 600*time.Millisecond)
		if d.RedirectsCallers() {
			t.Error("still redirects callers 0.6 s after the cut")
		}
	})
}

func TestIdleConnectionsAreClosedOnceCallersAreRedirected(t *testing.T) {
	for name, cutFor := range map[string]time.Duration{"long": 2 * rerouteTime, "short": rerouteTime / 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				front := newDrainTest(t)
				caller := front.dial(t)
				caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
				caller.expectAnswer("/a ")
				d := &Daemon{front: front.server, reachability: reachabilityWithCut()}
				simulateReach(d.reachability, time.Second, "b", "c")
				d.expireIdleAfterReroute()
				simulateReach(d.reachability, rerouteTime/2, "b", "c")
				if !d.RedirectsCallers() || front.server.count() != 1 {
					t.Fatalf("cut off: %v, with %d connections", d.RedirectsCallers(), front.server.count())
				}
				simulateReach(d.reachability, cutFor-rerouteTime/2, "b", "c")
				simulateReach(d.reachability, 2*rerouteTime)
				if kept := front.server.count() == 1; kept != (cutFor < rerouteTime) {
					t.Errorf("kept: %v", kept)
				}
			})
		})
	}
}

func TestFleetOfOneZoneDoesNotWatchForCuts(t *testing.T) {
	d := &Daemon{}
	d.prepareReachMonitor()
	inChoice := slices.ContainsFunc(d.placementPlugins().Scorers, func(s instance.Scorer) bool {
		_, isPart := s.(cutOffZones)
		return isPart
	})
	if d.reachMonitor != nil || inChoice || d.RedirectsCallers() {
		t.Error("a fleet of one zone watches for cuts")
	}
}
