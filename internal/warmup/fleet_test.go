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
	testTerms    = Tolerance{Overage: 1.5, Slack: 5}
	testServices = map[string]*route.Service{
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
	l := NewLimiter(Options{Tolerance: testTerms, OwnAddress: address, Logger: zerolog.Nop()})
	l.SetServices(testServices)
	return l
}

func coldInstance(id string) *instance.Instance {
	return &instance.Instance{ID: id, Service: "s", Zone: "z", HasColdFor: true, ColdFor: time.Hour, ReceivedAt: testStart}
}

// machine is a machine of the fleet, with the daemon that runs on it, if one does.
type machine struct {
	address     string
	limiter     *Limiter
	startedAt   time.Time
	frozenUntil time.Time
	cutUntil    time.Time
	// read is the number of the last change that it has read of.
	read int
	// pending are requests that were chosen and are not sent yet.
	pending []pendingRequest
}

type pendingRequest struct{ due, sendBy time.Time }

// fleet is a record of daemons in a store, and machines that read it each for itself.
type fleet struct {
	random   *rand.Rand
	onRecord map[string]bool
	// changes counts those of the record.
	changes  int
	machines []*machine
	sent     []time.Time
}

func newFleet(seed uint64, size int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), onRecord: map[string]bool{}}
	for i := range size {
		f.machines = append(f.machines, &machine{address: fmt.Sprint("machine-", i)})
	}
	return f
}

func (f *fleet) upTo(longest time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(longest)))
}

func (f *fleet) start(m *machine, now time.Time) {
	m.limiter, m.startedAt, m.read, m.pending = newTestLimiter(m.address), now, -1, nil
}

func (f *fleet) withdraw(m *machine) {
	m.limiter = nil
	f.write(m, false)
}

func (f *fleet) write(m *machine, present bool) {
	if f.onRecord[m.address] != present {
		f.onRecord[m.address] = present
		f.changes++
	}
}

func (f *fleet) read(m *machine, now time.Time) {
	m.read = f.changes
	var addresses []string
	for address, present := range f.onRecord {
		if present {
			addresses = append(addresses, address)
		}
	}
	m.limiter.SetDaemons(addresses, now)
	m.limiter.ConfirmDaemons(now, now)
}

// step lets a machine do what it does in testStep, with a caller at any moment.
func (f *fleet) step(m *machine, cold *instance.Instance, now time.Time) {
	if m.limiter == nil || now.Before(m.frozenUntil) {
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
	if !now.Before(m.cutUntil) {
		if now.Sub(m.startedAt) > 200*time.Millisecond {
			f.write(m, true)
		}
		asked := false
		select {
		case <-m.limiter.RefreshRequests():
			asked = true
		default:
		}
		if asked || (m.read != f.changes && f.random.IntN(20) == 0) { // it hears of changes late
			f.read(m, now)
		}
	}
	if !m.limiter.Admits(nil, cold, now) {
		return
	}
	if sendBy, reserved := m.limiter.Reserve(cold, now); reserved {
		m.pending = append(m.pending, pendingRequest{due: now.Add(f.upTo(600 * time.Millisecond)), sendBy: sendBy})
	}
}

func (f *fleet) run(from, to time.Duration, cold *instance.Instance, trouble func(m *machine, now time.Time)) {
	for at := from; at < to; at += testStep {
		now := testStart.Add(at)
		for _, m := range f.machines {
			if trouble != nil {
				trouble(m, now)
			}
			f.step(m, cold, now)
		}
	}
}

// most returns the most that were sent within one second, both ends included.
func (f *fleet) most() int {
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

// TestColdInstanceGetsNoMoreThanItBears: whatever becomes of machines and of what they
// read, no second brings a cold instance more than its rate from all of them.
func TestColdInstanceGetsNoMoreThanItBears(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 110).Draw(t, "machines"))
		each := rapid.IntRange(50, 3000).Draw(t, "steps between troubles of a machine")
		together := rapid.IntRange(0, 20000).Draw(t, "ms at which many troubles come")
		for _, m := range f.machines {
			f.start(m, testStart.Add(f.upTo(time.Second)))
		}
		f.run(0, 25*time.Second, coldInstance("i"), func(m *machine, now time.Time) {
			isTogether := now.Sub(testStart).Truncate(testStep) == (time.Duration(together) * time.Millisecond).Truncate(testStep)
			if f.random.IntN(each) != 0 && (!isTogether || f.random.IntN(2) == 0) {
				return
			}
			switch f.random.IntN(5) {
			case 0:
				f.start(m, now) // killed, and started at once
			case 1:
				f.withdraw(m)
			case 2:
				m.frozenUntil = now.Add(f.upTo(8 * time.Second))
			case 3:
				m.cutUntil = now.Add(f.upTo(12 * time.Second))
			case 4:
				if m.limiter == nil {
					f.start(m, now)
				}
			}
		})
		if most := f.most(); most > testRate {
			t.Fatalf("%d requests in a second, want %d at most", most, testRate)
		}
	})
}

// TestColdInstanceIsFilledAsFastAsItBears: the bound is made use of, by any number of
// daemons.
func TestColdInstanceIsFilledAsFastAsItBears(t *testing.T) {
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
			t.Errorf("%d daemons send %.2f of what a cold instance bears", size, share)
		}
	}
}

// TestWokenDaemonSendsNothingItSavedUp: neither what it chose before it stood still nor
// what it would have sent meanwhile.
func TestWokenDaemonSendsNothingItSavedUp(t *testing.T) {
	f := newFleet(3, 1)
	m := f.machines[0]
	f.start(m, testStart)
	cold := coldInstance("i")
	f.run(0, 10*time.Second, cold, nil)
	m.frozenUntil = testStart.Add(15 * time.Second)
	if len(m.pending) == 0 {
		t.Fatal("nothing was under way")
	}
	f.sent = nil
	f.run(15*time.Second, 15*time.Second+testStep, cold, nil)
	if len(f.sent) > 0 {
		t.Errorf("%d requests were sent as it woke", len(f.sent))
	}
	f.run(15*time.Second+testStep, 20*time.Second, cold, nil)
	if most := f.most(); most == 0 || most > testRate {
		t.Errorf("%d requests in a second after it woke, want some, and %d at most", most, testRate)
	}
}

// TestDaemonsThatStartTogetherWaitForEachOther: the first to read finds nobody but itself
// on record.
func TestDaemonsThatStartTogetherWaitForEachOther(t *testing.T) {
	f := newFleet(5, 100)
	for _, m := range f.machines {
		f.start(m, testStart)
	}
	f.run(0, 12*time.Second, coldInstance("i"), nil)
	if most := f.most(); most == 0 || most > testRate {
		t.Errorf("%d requests in a second, want some, and %d at most", most, testRate)
	}
}

// TestDaemonsThatReadNothingLeaveColdInstancesToOthers: daemons that were cut off know
// nothing of those that came meanwhile, and would send their old shares besides these.
func TestDaemonsThatReadNothingLeaveColdInstancesToOthers(t *testing.T) {
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
			m.cutUntil = now.Add(time.Hour)
		default:
			f.start(m, now)
		}
	})
	if most := f.most(); most == 0 || most > testRate {
		t.Errorf("%d requests in a second, want some, and %d at most", most, testRate)
	}
}

// TestShareOfOneThatLeftIsTakenOverLater: it may have used its share just before.
func TestShareOfOneThatLeftIsTakenOverLater(t *testing.T) {
	first, second := newTestLimiter("a"), newTestLimiter("b")
	now := testStart
	tell := func(addresses ...string) {
		for _, l := range []*Limiter{first, second} {
			l.SetDaemons(addresses, now)
			l.ConfirmDaemons(now, now)
		}
	}
	tell("a", "b")
	now = now.Add(countedAfter)
	tell("a", "b")
	spend := func(l *Limiter) (count int) {
		for _, reserved := l.Reserve(coldInstance("i"), now); reserved; _, reserved = l.Reserve(coldInstance("i"), now) {
			count++
		}
		return count
	}
	before := spend(first)
	now = now.Add(100 * time.Millisecond)
	tell("b")
	if after := spend(second); before == 0 || before+after > testRate {
		t.Errorf("one sent %d and left, the other sent %d, want %d at most", before, after, testRate)
	}
	now = now.Add(countedAfter + time.Second)
	tell("b")
	if later := spend(second); later != testRate {
		t.Errorf("the last one sends %d, want %d", later, testRate)
	}
}
