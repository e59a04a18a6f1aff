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

// zoneReturns are zones that were given back.
type zoneReturns map[string]time.Time

// ReturnedAt implements Returns.
func (z zoneReturns) ReturnedAt(zone string) (time.Time, bool) {
	at, returned := z[zone]
	return at, returned
}

// TestWhatCountsAsCold: the instance's own word, as old as it may be.
func TestWhatCountsAsCold(t *testing.T) {
	at := func(seconds float64) time.Time { return testStart.Add(time.Duration(seconds * float64(time.Second))) }
	returns := zoneReturns{"returned": at(10)}
	tells := func(zone string, heard, coldFor float64) instance.Instance {
		return instance.Instance{
			Service: "s", Zone: zone, HasColdFor: true, ReceivedAt: at(heard), FirstSeenAt: at(0),
			ColdFor: time.Duration(coldFor * float64(time.Second)),
		}
	}
	for name, test := range map[string]struct {
		instance instance.Instance
		from, to float64 // cold in between, seconds; equal: never
	}{
		"it says so":                             {tells("z", 1, 2), 1, 3},
		"it says that it is warm":                {tells("z", 1, 0), 0, 0},
		"it says nothing and is new":             {instance.Instance{Service: "s", FirstSeenAt: at(1), ReceivedAt: at(1)}, 1, 4},
		"it says nothing and was there":          {instance.Instance{Service: "s", ReceivedAt: at(1)}, 0, 0},
		"its service has no limit":               {instance.Instance{Service: "t", HasColdFor: true, ReceivedAt: at(0), ColdFor: time.Hour}, 0, 0},
		"its zone returned after its word":       {tells("returned", 9, 0), 10, 13},
		"its word may be from before the return": {tells("returned", 11.9, 0), 11.9, 13},
		"its word is newer than the return":      {tells("returned", 12, 0), 0, 0},
		"its word is longer than the return":     {tells("returned", 9, 5), 10, 14},
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

func pluggedIn(l *Limiter) instance.Plugins {
	return instance.Plugins{
		Filters: []instance.Filter{l}, Scorers: []instance.Scorer{l}, Reservers: []instance.Reserver{l},
	}
}

// limitedPools returns the pools of daemons that know each other for long.
func limitedPools(count int, plugIn bool) []*instance.Pool {
	var pools []*instance.Pool
	var limiters []*Limiter
	var addresses []string
	for i := range count {
		address := fmt.Sprint("machine-", i)
		limiter := newTestLimiter(address)
		var plugins instance.Plugins
		if plugIn {
			plugins = pluggedIn(limiter)
		}
		addresses = append(addresses, address)
		limiters = append(limiters, limiter)
		pools = append(pools, instance.NewPool(rand.New(rand.NewPCG(uint64(i), 1)), plugins))
	}
	for _, limiter := range limiters {
		limiter.SetDaemons(addresses, time.Now())
	}
	time.Sleep(countedAfter)
	for _, limiter := range limiters {
		limiter.ConfirmDaemons(time.Now(), time.Now())
	}
	return pools
}

// engines lists instances, the first of which are cold for so long.
func engines(count, cold int, coldFor time.Duration) []instance.Instance {
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

// playReturn lets 74 daemons have 44 instances, of which a quarter came back cold, for
// one and a half seconds, in which each daemon begins a request each so often. It returns
// the requests of each cold instance, the most of them in any second, and how many found
// no instance.
func playReturn(plugIn bool, cold int, each time.Duration) (counts []int, most, unserved int) {
	const lasts = 1500 * time.Millisecond
	pools := limitedPools(74, plugIn)
	sent := map[string][]time.Time{}
	began := time.Now()
	for _, pool := range pools {
		pool.Replace(engines(44, cold, lasts))
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
		time.Sleep(each)
	}
	for i := range cold {
		f := &fleet{sent: sent[fmt.Sprint("engine-", i)]}
		counts = append(counts, len(f.sent))
		most = max(most, f.most())
	}
	return counts, most, unserved
}

// TestZoneThatReturnsColdIsFilledEvenly: by a herd of daemons, while callers of all are
// served by the instances that are warm.
func TestZoneThatReturnsColdIsFilledEvenly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counts, most, unserved := playReturn(true, 11, 10*time.Millisecond)
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

// TestColdFleetIsFilledAsFastAsItBears: with no instance warm, what is more than they all
// bear finds none.
func TestColdFleetIsFilledAsFastAsItBears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counts, most, unserved := playReturn(true, 44, 10*time.Millisecond)
		total := 0
		for _, count := range counts {
			total += count
		}
		if most > testRate || total < 44*testRate*9/10 || unserved == 0 {
			t.Errorf("%d in a second at one, %d in all, %d found none", most, total, unserved)
		}
	})
}

// TestServiceOfColdInstancesIsFullNotGone tells the two apart in the census.
func TestServiceOfColdInstancesIsFullNotGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := limitedPools(1, true)[0]
		pool.Replace(engines(1, 1, time.Hour))
		for found := true; found; {
			_, found = pool.Take(instance.Query{Service: "s"})
		}
		if census := pool.Count(instance.Query{Service: "s"}); census.Admitted != 0 || census.TemporarilyFiltered != 1 || census.Filtered["cold"] != 1 {
			t.Errorf("got %+v", census)
		}
	})
}

// TestEntryThatRisesMakesAnInstanceColdAgain: and one that is heard again is as old as
// when it was heard first.
func TestEntryThatRisesMakesAnInstanceColdAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := limitedPools(100, true)[0]
		takesAll := func() bool {
			for range 2 * testRate {
				if _, found := pool.Take(instance.Query{Service: "s"}); !found {
					return false
				}
			}
			return true
		}
		list := engines(1, 0, 0)
		pool.Replace(list)
		if !takesAll() {
			t.Error("a warm instance is held back")
		}
		list[0].Sequence, list[0].ColdFor = 2, 2*time.Second
		pool.Replace(list)
		if takesAll() {
			t.Error("a cold instance gets all")
		}
		time.Sleep(1500 * time.Millisecond)
		pool.Replace(list)
		time.Sleep(time.Second)
		if !takesAll() {
			t.Error("it is held back for longer than it said")
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
	limiter.SetDaemons(addresses, time.Now().Add(-countedAfter))
	limiter.ConfirmDaemons(time.Now().Add(time.Hour), time.Now())
	var plugins instance.Plugins
	if plugIn {
		plugins = pluggedIn(limiter)
	}
	pool := instance.NewPool(rand.New(rand.NewPCG(1, 1)), plugins)
	pool.Replace(engines(50, cold, time.Hour))
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

// BenchmarkShare is what each cold instance costs once after a change of the record.
func BenchmarkShare(b *testing.B) {
	r := newRoster("machine-0")
	var addresses []string
	for i := range 300 {
		addresses = append(addresses, fmt.Sprint("machine-", i))
	}
	r.take(addresses, time.Now())
	instances := uint64(0)
	for b.Loop() {
		instances++
		r.share(mix(instances), testRate)
	}
}
