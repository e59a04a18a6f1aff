package warmup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/route"
)

var (
	testTolerance = Tolerance{Overage: 1.5, Slack: 5}
	testServices  = map[string]*route.Service{
		"s": {Name: "s", ColdStart: 3 * time.Second, ColdRequestsPerSecond: 28},
		"t": {Name: "t"},
	}
	testStart = time.Now()
)

const (
	testRate = 42 // 28 x 1.5
	testStep = 25 * time.Millisecond
)

func newTestLimiter(address string) *Limiter {
	l := NewLimiter(Options{Tolerance: testTolerance, OwnAddress: address, Logger: zerolog.Nop()})
	l.SetServices(testServices)
	return l
}

func coldInstance(id string) *instance.Instance {
	return &instance.Instance{ID: id, Service: "s", Zone: "z", HasColdFor: true, ColdFor: time.Hour, ReceivedAt: testStart}
}

// machine is a host of the fleet, and the daemon on it if one runs.
type machine struct {
	address          string
	limiter          *Limiter
	startedAt        time.Time
	pausedUntil      time.Time
	partitionedUntil time.Time
	// read is the number of registry changes that the daemon has read.
	read int
	// pending are requests whose instance was chosen and that are not sent yet.
	pending []pendingRequest
}

type pendingRequest struct{ due, sendBy time.Time }

// fleet is a registry of daemons and the machines that read it, each independently.
type fleet struct {
	random     *rand.Rand
	registered map[string]bool
	// changes counts the changes of the registry.
	changes  int
	machines []*machine
	sent     []time.Time
}

func newFleet(seed uint64, size int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), registered: map[string]bool{}}
	for i := range size {
		f.machines = append(f.machines, &machine{address: fmt.Sprint("machine-", i)})
	}
	return f
}

func (f *fleet) randomDuration(longest time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(longest)))
}

func (f *fleet) start(m *machine, now time.Time) {
	m.limiter, m.startedAt, m.read, m.pending = newTestLimiter(m.address), now, -1, nil
}

func (f *fleet) deregister(m *machine) {
	m.limiter = nil
	f.write(m, false)
}

func (f *fleet) write(m *machine, present bool) {
	if f.registered[m.address] != present {
		f.registered[m.address] = present
		f.changes++
	}
}

func (f *fleet) read(m *machine, now time.Time) {
	m.read = f.changes
	var addresses []string
	for address, present := range f.registered {
		if present {
			addresses = append(addresses, address)
		}
	}
	m.limiter.SetDaemons(addresses, now)
	m.limiter.ConfirmDaemons(now, now)
}

// step simulates one testStep of a machine whose clients always have a request.
func (f *fleet) step(m *machine, cold *instance.Instance, now time.Time) {
	if m.limiter == nil || now.Before(m.pausedUntil) {
		return
	}
	m.pending = slices.DeleteFunc(m.pending, func(p pendingRequest) bool {
		if now.Before(p.due) {
			return false
		}
		if !now.After(p.sendBy) {
			f.sent = append(f.sent, now)
		}
		return true
	})
	if !now.Before(m.partitionedUntil) {
		if now.Sub(m.startedAt) > 200*time.Millisecond {
			f.write(m, true)
		}
		requested := false
		select {
		case <-m.limiter.RefreshRequests():
			requested = true
		default:
		}
		if requested || (m.read != f.changes && f.random.IntN(20) == 0) { // changes are read with a delay
			f.read(m, now)
		}
	}
	if !m.limiter.Admits(nil, cold, now) {
		return
	}
	if sendBy, reserved := m.limiter.Reserve(cold, now); reserved {
		m.pending = append(m.pending, pendingRequest{due: now.Add(f.randomDuration(600 * time.Millisecond)), sendBy: sendBy})
	}
}

func (f *fleet) run(from, to time.Duration, cold *instance.Instance, fault func(m *machine, now time.Time)) {
	for at := from; at < to; at += testStep {
		now := testStart.Add(at)
		for _, m := range f.machines {
			if fault != nil {
				fault(m, now)
			}
			f.step(m, cold, now)
		}
	}
}

// maxPerSecond returns the maximum number of requests sent within any second, both ends
// included.
func (f *fleet) maxPerSecond() int {
	slices.SortFunc(f.sent, time.Time.Compare)
	most, first := 0, 0
	for last, at := range f.sent {
		for at.Sub(f.sent[first]) > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Whatever happens to the machines and their reads, in no second may all daemons together
// send a cold instance more than its rate.
func TestRateOfAColdInstanceIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 110).Draw(t, "machines"))
		each := rapid.IntRange(50, 3000).Draw(t, "steps between faults of a machine")
		together := rapid.IntRange(0, 20000).Draw(t, "ms at which many faults occur")
		for _, m := range f.machines {
			f.start(m, testStart.Add(f.randomDuration(time.Second)))
		}
		f.run(0, 25*time.Second, coldInstance("i"), func(m *machine, now time.Time) {
			isTogether := now.Sub(testStart).Truncate(testStep) == (time.Duration(together) * time.Millisecond).Truncate(testStep)
			if f.random.IntN(each) != 0 && (!isTogether || f.random.IntN(2) == 0) {
				return
			}
			switch f.random.IntN(5) {
			case 0:
				f.start(m, now) // killed and restarted at once
			case 1:
				f.deregister(m)
			case 2:
				m.pausedUntil = now.Add(f.randomDuration(8 * time.Second))
			case 3:
				m.partitionedUntil = now.Add(f.randomDuration(12 * time.Second))
			case 4:
				if m.limiter == nil {
					f.start(m, now)
				}
			}
		})
		if most := f.maxPerSecond(); most > testRate {
			t.Fatalf("%d requests in a second, want %d at most", most, testRate)
		}
	})
}

// Fleets of any size must make use of most of the rate.
func TestRateOfAColdInstanceIsUsed(t *testing.T) {
	for _, size := range []int{1, 5, 20, 30, 74, 300} {
		f := newFleet(7, size)
		for _, m := range f.machines {
			f.start(m, testStart)
		}
		f.run(0, 30*time.Second, coldInstance("i"), nil)
		got := 0
		for _, at := range f.sent {
			if at.Sub(testStart) > 10*time.Second {
				got++
			}
		}
		windows := float64(20*time.Second) / float64(window)
		if share := float64(got) / (windows * testRate); share < 0.7 {
			t.Errorf("%d daemons use %.2f of the rate of a cold instance, want 0.7 at least", size, share)
		}
	}
}

// A daemon that resumes after a pause must send neither requests chosen before it nor a
// backlog.
func TestResumedDaemonSendsNoBacklog(t *testing.T) {
	f := newFleet(3, 1)
	m := f.machines[0]
	f.start(m, testStart)
	cold := coldInstance("i")
	f.run(0, 10*time.Second, cold, nil)
	m.pausedUntil = testStart.Add(15 * time.Second)
	if len(m.pending) == 0 {
		t.Fatal("no request was pending")
	}
	f.sent = nil
	f.run(15*time.Second, 15*time.Second+testStep, cold, nil)
	if len(f.sent) > 0 {
		t.Errorf("%d requests were sent when it resumed", len(f.sent))
	}
	f.run(15*time.Second+testStep, 20*time.Second, cold, nil)
	if most := f.maxPerSecond(); most == 0 || most > testRate {
		t.Errorf("%d requests in a second after it resumed, want some, and %d at most", most, testRate)
	}
}

// The first daemon to read the registry finds only itself there.
func TestDaemonsThatStartTogetherCountEachOther(t *testing.T) {
	f := newFleet(5, 100)
	for _, m := range f.machines {
		f.start(m, testStart)
	}
	f.run(0, 12*time.Second, coldInstance("i"), nil)
	if most := f.maxPerSecond(); most == 0 || most > testRate {
		t.Errorf("%d requests in a second, want some, and %d at most", most, testRate)
	}
}

// Partitioned daemons do not know those that joined meanwhile, and must not use their
// former shares in addition to these.
func TestPartitionedDaemonsSendNothingToColdInstances(t *testing.T) {
	f := newFleet(11, 200)
	joined := testStart.Add(10 * time.Second)
	for i, m := range f.machines {
		if i < 50 {
			f.start(m, testStart)
		}
	}
	f.run(0, 20*time.Second, coldInstance("i"), func(m *machine, now time.Time) {
		switch {
		case !now.Equal(joined):
		case m.limiter != nil:
			m.partitionedUntil = now.Add(time.Hour)
		default:
			f.start(m, now)
		}
	})
	if most := f.maxPerSecond(); most == 0 || most > testRate {
		t.Errorf("%d requests in a second, want some, and %d at most", most, testRate)
	}
}

// A removed daemon may have used its share just before.
func TestShareOfARemovedDaemonIsReassignedLater(t *testing.T) {
	first, second := newTestLimiter("a"), newTestLimiter("b")
	now := testStart
	setDaemons := func(addresses ...string) {
		for _, l := range []*Limiter{first, second} {
			l.SetDaemons(addresses, now)
			l.ConfirmDaemons(now, now)
		}
	}
	setDaemons("a", "b")
	now = now.Add(membershipDelay)
	setDaemons("a", "b")
	useShare := func(l *Limiter) (count int) {
		for _, reserved := l.Reserve(coldInstance("i"), now); reserved; _, reserved = l.Reserve(coldInstance("i"), now) {
			count++
		}
		return count
	}
	before := useShare(first)
	now = now.Add(100 * time.Millisecond)
	setDaemons("b")
	if after := useShare(second); before == 0 || before+after > testRate {
		t.Errorf("the removed daemon sent %d, the other %d, want %d at most", before, after, testRate)
	}
	now = now.Add(membershipDelay + time.Second)
	setDaemons("b")
	if later := useShare(second); later != testRate {
		t.Errorf("the remaining daemon sends %d, want %d", later, testRate)
	}
}
