package ledger

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/quota"
)

// testTolerance allows a tenant with a limit of ten requests a second and a burst of one 66.6
// requests in five seconds.
var testTolerance = quota.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 10.5}

// admissions are the times at which requests of one tenant were admitted.
type admissions struct {
	mutex   sync.Mutex
	moments []time.Time
}

// ask asks through a daemon, and records the time if the request is admitted. While an
// owner is being replaced there may be no verdict.
func (a *admissions) ask(t *testing.T, s *Service) {
	ask := quota.Request{Tenant: "north", Limit: quota.Limit{PerSecond: 10, Burst: 1}, Version: 1}
	verdict, err := s.AskQuota(testContext(t), ask)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if err == nil && verdict.Admitted {
		a.moments = append(a.moments, time.Now())
	}
}

// mostWithin returns the most requests that were admitted in any span of a length.
func (a *admissions) mostWithin(length time.Duration) int {
	most, first := 0, 0
	for i, moment := range a.moments {
		for moment.Sub(a.moments[first]) > length {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestLimitHoldsWhenItsOwnersAreLost: all daemons together ask for five times the limit,
// while the owner is killed repeatedly, and once all daemons are.
func TestLimitHoldsWhenItsOwnersAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 5)
		admitted := &admissions{}
		run := uint64(1)
		for second := range 20 {
			for i := range 50 {
				ids := f.ids()
				asker := f.service(ids[i%len(ids)])
				go admitted.ask(t, asker)
				time.Sleep(20 * time.Millisecond)
			}
			run++
			switch {
			case second == 9:
				f.killAll()
				time.Sleep(time.Second)
				for number := range 5 {
					f.start(daemonID(number, run))
				}
			case second%3 == 2:
				owner := f.holderOf("tenant/north")
				f.kill(owner)
				f.start(daemonID(int(run)+10, run))
			}
		}
		time.Sleep(5 * time.Second)
		most, got := int(testTolerance.Window.Seconds()*10*1.1+1.1+10.5), admitted.mostWithin(testTolerance.Window)
		if got > most {
			t.Errorf("%d requests in five seconds, want %d at most", got, most)
		}
		if len(admitted.moments) < 100 {
			t.Errorf("only %d requests were admitted in 20 s", len(admitted.moments))
		}
	})
}
