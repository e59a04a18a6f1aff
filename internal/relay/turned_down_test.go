package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/instance"
)

// rejectingDriver simulates instances that reject calls whose ID begins with refused, and
// process a few other calls at once.
type rejectingDriver struct {
	refused string
	work    time.Duration
	slots   int

	mutex  sync.Mutex
	busy   map[string]int
	offers map[string]int
}

// Send implements Driver.
func (d *rejectingDriver) Send(_ context.Context, to instance.Instance, outgoing *OutgoingCall) (*Answer, error) {
	time.Sleep(time.Millisecond) // network delay
	d.mutex.Lock()
	d.offers[outgoing.ID]++
	takes := !strings.HasPrefix(outgoing.ID, d.refused) && d.busy[to.ID] < d.slots
	if takes {
		d.busy[to.ID]++
	}
	d.mutex.Unlock()
	if !takes {
		return &Answer{Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: http.NoBody, NotRun: ProofDeclared}, nil
	}
	time.Sleep(d.work)
	d.mutex.Lock()
	d.busy[to.ID]--
	d.mutex.Unlock()
	return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x"))}, nil
}

// loadOutcome sums up what callers got.
type loadOutcome struct {
	served, refused int
	// total is the summed waiting time of the served calls.
	total time.Duration
	// mostOffers is the largest number of offers of a refused call.
	mostOffers int
}

// runLoad sends calls for ten seconds at a mean interval; one in every oneIn is rejected by
// all instances.
func runLoad(t *testing.T, slots int, work, distance time.Duration, oneIn int) loadOutcome {
	h := newHarness(t)
	var list []instance.Instance
	for i := range 20 {
		list = append(list, instance.Instance{ID: fmt.Sprint("i", i), Service: "s", Address: fmt.Sprint("a:", i), Zone: "z", Slots: slots, State: instance.StateReady})
	}
	h.pool.Replace(list)
	driver := &rejectingDriver{refused: "bad", work: work, slots: slots, busy: map[string]int{}, offers: map[string]int{}}
	h.relay.Driver = driver
	random := rand.New(rand.NewPCG(1, 2))
	var outcome loadOutcome
	var mutex sync.Mutex
	var calls sync.WaitGroup
	for i := 0; time.Duration(i)*distance < 10*time.Second; i++ {
		call := newCall(newRoute("once"))
		call.ID = fmt.Sprint("good-", i)
		call.Deadline = call.Received.Add(3 * time.Second)
		if oneIn > 0 && i%oneIn == 0 {
			call.ID = fmt.Sprint("bad-", i)
		}
		calls.Go(func() {
			r := &recorder{}
			h.relay.Serve(context.Background(), call, r)
			mutex.Lock()
			defer mutex.Unlock()
			if r.status == http.StatusOK {
				outcome.served++
				outcome.total += time.Since(call.Received)
				return
			}
			outcome.refused++
			driver.mutex.Lock()
			defer driver.mutex.Unlock()
			outcome.mostOffers = max(outcome.mostOffers, driver.offers[call.ID])
		})
		time.Sleep(time.Duration(random.ExpFloat64() * float64(distance)))
	}
	calls.Wait()
	return outcome
}

// Guards against requests that every instance rejects being offered again and again, which
// slows down the others.
func TestRequestTurnedDownByAllDoesNotSlowOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		without := runLoad(t, 4, 20*time.Millisecond, 5*time.Millisecond, 0)
		with := runLoad(t, 4, 20*time.Millisecond, 5*time.Millisecond, 20)
		t.Logf("without: %+v, with: %+v", without, with)
		before, after := without.total/time.Duration(without.served), with.total/time.Duration(with.served)
		if after > before+before/20 || with.mostOffers > 40 || without.refused > 0 {
			t.Errorf("other calls take %s instead of %s; a refused call takes %d offers", after, before, with.mostOffers)
		}
	})
}

// Under a load of 1.25 times the instances' capacity, calls wait for a free slot, and are
// refused only if they are unlikely to be served in time.
func TestCallsToFullServiceAreNotTakenForTurnedDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := runLoad(t, 2, 200*time.Millisecond, 4*time.Millisecond, 0) // the capacity is 200 a second
		t.Logf("%+v", got)
		if share := float64(got.served) / float64(got.served+got.refused); share < 0.7 {
			t.Errorf("%.2f of the calls were served at 1.25 times the capacity", share)
		}
	})
}

// ConnectToLiving implements Driver.
func (d *rejectingDriver) ConnectToLiving(ctx context.Context, to instance.Instance) error {
	return d.Connect(ctx, to, 0)
}

// HoldConnection implements Driver.
func (*rejectingDriver) HoldConnection(ctx context.Context, _ instance.Instance) error {
	<-ctx.Done()
	return nil
}

// Connect implements Driver.
func (d *rejectingDriver) Connect(context.Context, instance.Instance, int) error { return nil }
