package warmup

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/route"
)

// zoneReturns holds when the evacuations of zones ended.
type zoneReturns map[string]time.Time

// ReturnedAt implements ZoneReturns.
func (z zoneReturns) ReturnedAt(zone string) (time.Time, bool) {
	at, returned := z[zone]
	return at, returned
}

func TestColdUntil(t *testing.T) {
	at := func(seconds float64) time.Time { return testStart.Add(time.Duration(seconds * float64(time.Second))) }
	returns := zoneReturns{"returned": at(10)}
	reported := func(zone string, received, coldFor float64) instance.Instance {
		return instance.Instance{
			Service: "s", Zone: zone, HasColdFor: true, ReceivedAt: at(received), FirstSeenAt: at(0),
			ColdFor: time.Duration(coldFor * float64(time.Second)),
		}
	}
	for name, test := range map[string]struct {
		instance instance.Instance
		from, to float64 // the instance is cold in between, in seconds; never if they are equal
	}{
		"reports cold":                               {reported("z", 1, 2), 1, 3},
		"reports warm":                               {reported("z", 1, 0), 0, 0},
		"reports nothing, new":                       {instance.Instance{Service: "s", FirstSeenAt: at(1), ReceivedAt: at(1)}, 1, 4},
		"reports nothing, listed at the start":       {instance.Instance{Service: "s", ReceivedAt: at(1)}, 0, 0},
		"service without a limit":                    {instance.Instance{Service: "t", HasColdFor: true, ReceivedAt: at(0), ColdFor: time.Hour}, 0, 0},
		"entry before the return of the zone":        {reported("returned", 9, 0), 10, 13},
		"entry possibly before the return":           {reported("returned", 11.9, 0), 11.9, 13},
		"entry after the return":                     {reported("returned", 12, 0), 0, 0},
		"reported cold time ends after the return's": {reported("returned", 9, 5), 10, 14},
	} {
		l := newTestLimiter("a")
		l.options.ZoneReturns = returns
		for second := 0.0; second < 20; second += 0.5 {
			now := at(second)
			if now.Before(test.instance.ReceivedAt) || (test.instance.Zone == "returned" && second < 10) {
				continue
			}
			_, _, got := l.limitIfCold(&test.instance, now)
			if want := second >= test.from && second < test.to; got != want {
				t.Errorf("%s: at %.1f s cold is %t, want %t", name, second, got, want)
			}
		}
	}
}

func pluginsOf(l *Limiter) instance.Plugins {
	return instance.Plugins{
		Filters: []instance.Filter{l}, Scorers: []instance.Scorer{l}, Reservers: []instance.Reserver{l},
	}
}

// newLimitedPools returns the pools of daemons that have been registered for
// membershipDelay.
func newLimitedPools(count int, plugIn bool) []*instance.Pool {
	var pools []*instance.Pool
	var limiters []*Limiter
	var addresses []string
	for i := range count {
		address := fmt.Sprint("machine-", i)
		limiter := newTestLimiter(address)
		var plugins instance.Plugins
		if plugIn {
			plugins = pluginsOf(limiter)
		}
		addresses = append(addresses, address)
		limiters = append(limiters, limiter)
		pools = append(pools, instance.NewPool(rand.New(rand.NewPCG(uint64(i), 1)), plugins))
	}
	for _, limiter := range limiters {
		limiter.SetDaemons(addresses, time.Now())
	}
	time.Sleep(membershipDelay)
	for _, limiter := range limiters {
		limiter.ConfirmDaemons(time.Now(), time.Now())
	}
	return pools
}

// newInstances returns instances, the first of which report to be cold for coldFor.
func newInstances(count, cold int, coldFor time.Duration) []instance.Instance {
	var list []instance.Instance
	for i := range count {
		listed := instance.Instance{
			ID: fmt.Sprint("engine-", i), Service: "s", Address: fmt.Sprint("address-", i), Zone: "z", Slots: 16,
			State: instance.StateReady, Sequence: 1, HasColdFor: true,
		}
		if i < cold {
			listed.ColdFor = coldFor
		}
		list = append(list, listed)
	}
	return list
}

// simulateReturn runs 74 daemons and 44 instances for one and a half seconds; the first
// instances are cold. Each daemon starts a request after every interval. It returns the
// number of requests of each cold instance, the maximum of these in any second, and the
// number of requests for which no instance was found.
func simulateReturn(plugIn bool, cold int, interval time.Duration) (counts []int, maxPerSecond, unserved int) {
	const lasts = 1500 * time.Millisecond
	pools := newLimitedPools(74, plugIn)
	sent := map[string][]time.Time{}
	began := time.Now()
	for _, pool := range pools {
		pool.Replace(newInstances(44, cold, lasts))
	}
	for time.Since(began) < lasts {
		for _, pool := range pools {
			taken, found := pool.Take(instance.Query{Service: "s"})
			if !found {
				unserved++
				continue
			}
			sent[taken.ID] = append(sent[taken.ID], time.Now())
			time.AfterFunc(300*time.Millisecond, func() { pool.Release(taken.ID, instance.OutcomeAnswered) })
		}
		time.Sleep(interval)
	}
	for i := range cold {
		f := &fleet{sent: sent[fmt.Sprint("engine-", i)]}
		counts = append(counts, len(f.sent))
		maxPerSecond = max(maxPerSecond, f.maxPerSecond())
	}
	return counts, maxPerSecond, unserved
}

// Many daemons fill the cold instances evenly, and all requests are served, by the warm
// ones if need be.
func TestReturnedColdZoneIsFilledEvenly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counts, most, unserved := simulateReturn(true, 11, 10*time.Millisecond)
		if most > testRate {
			t.Errorf("%d requests in a second for one cold instance, want %d at most", most, testRate)
		}
		if unserved > 0 {
			t.Errorf("%d requests found no instance while others were warm", unserved)
		}
		for _, count := range counts {
			if count < testRate*9/10 {
				t.Errorf("cold instances got %v, want nearly %d each", counts, testRate)
				break
			}
		}
	})
}

// With no warm instance, requests beyond the limit find none.
func TestColdFleetReceivesItsFullRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counts, most, unserved := simulateReturn(true, 44, 10*time.Millisecond)
		total := 0
		for _, count := range counts {
			total += count
		}
		if most > testRate || total < 44*testRate*9/10 || unserved == 0 {
			t.Errorf("%d requests in a second at one instance, %d in total, %d found no instance", most, total, unserved)
		}
	})
}

func TestColdInstancesAreTemporarilyFiltered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newLimitedPools(1, true)[0]
		pool.Replace(newInstances(1, 1, time.Hour))
		for found := true; found; {
			_, found = pool.Take(instance.Query{Service: "s"})
		}
		if counts := pool.Count(instance.Query{Service: "s"}); counts.Admitted != 0 || counts.TemporarilyFiltered != 1 || counts.Filtered["cold"] != 1 {
			t.Errorf("got %+v", counts)
		}
	})
}

// An instance that becomes cold again is limited until the reported time is over; reading
// the same entry again must not extend it.
func TestNewerEntryMakesAnInstanceColdAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newLimitedPools(100, true)[0]
		takesAll := func() bool {
			for range 2 * testRate {
				if _, found := pool.Take(instance.Query{Service: "s"}); !found {
					return false
				}
			}
			return true
		}
		list := newInstances(1, 0, 0)
		pool.Replace(list)
		if !takesAll() {
			t.Error("a warm instance is limited")
		}
		list[0].Sequence, list[0].ColdFor = 2, 2*time.Second
		pool.Replace(list)
		if takesAll() {
			t.Error("a cold instance is not limited")
		}
		time.Sleep(1500 * time.Millisecond)
		pool.Replace(list)
		time.Sleep(time.Second)
		if !takesAll() {
			t.Error("the instance is limited for longer than it reported")
		}
	})
}

func benchmarkTake(b *testing.B, services map[string]*route.Service, plugIn bool, cold int) {
	var addresses []string
	for i := range 300 {
		addresses = append(addresses, fmt.Sprint("machine-", i))
	}
	limiter := newTestLimiter(addresses[0])
	limiter.SetServices(services)
	limiter.SetDaemons(addresses, time.Now().Add(-membershipDelay))
	limiter.ConfirmDaemons(time.Now().Add(time.Hour), time.Now())
	var plugins instance.Plugins
	if plugIn {
		plugins = pluginsOf(limiter)
	}
	pool := instance.NewPool(rand.New(rand.NewPCG(1, 1)), plugins)
	pool.Replace(newInstances(50, cold, time.Hour))
	b.ReportAllocs()
	for b.Loop() {
		if taken, found := pool.Take(instance.Query{Service: "s"}); found {
			pool.Release(taken.ID, instance.OutcomeAnswered)
		}
	}
}

func BenchmarkTake(b *testing.B) {
	unlimited := map[string]*route.Service{"s": {Name: "s"}}
	b.Run("no plug-in", func(b *testing.B) { benchmarkTake(b, testServices, false, 0) })
	b.Run("no limits", func(b *testing.B) { benchmarkTake(b, unlimited, true, 0) })
	b.Run("all warm", func(b *testing.B) { benchmarkTake(b, testServices, true, 0) })
	b.Run("a quarter cold", func(b *testing.B) { benchmarkTake(b, testServices, true, 12) })
	b.Run("all cold", func(b *testing.B) { benchmarkTake(b, testServices, true, 50) })
}

// BenchmarkShare measures the cost of each cold instance after a change of the registry.
func BenchmarkShare(b *testing.B) {
	r := newRoster("machine-0")
	var addresses []string
	for i := range 300 {
		addresses = append(addresses, fmt.Sprint("machine-", i))
	}
	r.update(addresses, time.Now())
	instances := uint64(0)
	for b.Loop() {
		instances++
		r.share(mix(instances), testRate)
	}
}
