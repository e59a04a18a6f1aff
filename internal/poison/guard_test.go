package poison

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/memory"
)

// settled is longer than all daemons take to read what the store has.
const settled = 200 * time.Millisecond

func TestSuspectedContentIsSentByOneDaemonAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		f.living()[0].endOnce("x", "e0")
		var sending, sent, refused atomic.Int64
		var callers sync.WaitGroup
		for number := range 20 {
			callers.Go(func() {
				d := f.living()[number%5]
				tracker := d.track("x")
				defer tracker.Close()
				if err := tracker.Admit(d.alive, noPreference); err != nil {
					if !errors.Is(err, ErrLimitReached) {
						t.Errorf("refused with %v", err)
					}
					refused.Add(1)
					return
				}
				if sending.Add(1) > 1 {
					t.Error("sent by two requests at the same time")
				}
				sent.Add(1)
				time.Sleep(40 * time.Millisecond)
				sending.Add(-1)
				tracker.Ended(d.alive, fmt.Sprint("e", number+1), nil)
			})
		}
		callers.Wait()
		if sent.Load() != Limit-1 || refused.Load() != 20-(Limit-1) {
			t.Errorf("sent %d times and refused %d, after one end", sent.Load(), refused.Load())
		}
	})
}

func TestAnswerOfABackEndLetsAllWaitingRequestsGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.living()[0].endOnce("x", "e0")
		var callers sync.WaitGroup
		began := time.Now()
		for number := range 30 {
			callers.Go(func() {
				d := f.living()[number%3]
				tracker := d.track("x")
				defer tracker.Close()
				if err := tracker.Admit(d.alive, noPreference); err != nil {
					t.Errorf("refused with %v", err)
				}
				time.Sleep(50 * time.Millisecond)
				tracker.Answered()
			})
		}
		callers.Wait()
		if took := time.Since(began); took > 200*time.Millisecond {
			t.Errorf("30 requests took %s", took)
		}
		time.Sleep(settled)
		f.checkRecords(1) // the answer, in case older records come late
		time.Sleep(suspectLifetime + 2*sweepInterval)
		f.checkRecords(0)
		if contents := f.living()[2].table.count.Load(); contents > 0 {
			t.Errorf("%d contents stay at a daemon", contents)
		}
	})
}

func TestSuspectsOutliveAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		for number := range Limit {
			f.living()[number].endOnce("x", fmt.Sprint("e", number))
			f.killAll()
			for again := range 3 {
				f.start(again, uint64(number)+2)
			}
		}
		d := f.living()[0]
		if err := d.track("x").Admit(d.alive, noPreference); !errors.Is(err, ErrLimitReached) {
			t.Errorf("admitted after all daemons were replaced: %v", err)
		}
		if err := d.track("y").Admit(d.alive, noPreference); err != nil {
			t.Errorf("another content is refused: %v", err)
		}
	})
}

// A daemon that sends a suspected content and is killed cannot tell what became of the back end.
func TestReservationOfADeadDaemonCountsAsAnEnd(t *testing.T) {
	for name, c := range map[string]struct {
		instance string
		running  bool
		ends     int
	}{
		"the back end is gone":  {"e1", false, 2},
		"the back end runs":     {"e1", true, 1},
		"there was no back end": {"", false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				f.isRunning = func(string) bool { return c.running }
				first, second := f.living()[0], f.living()[1]
				first.endOnce("x", "e0")
				ctx, cancel := context.WithTimeout(first.alive, 3*time.Second)
				defer cancel()
				if err := first.track("x").Admit(ctx, func() string { return c.instance }); err != nil {
					t.Fatal(err)
				}
				f.end(first)
				began := time.Now()
				if err := second.track("x").Admit(second.alive, noPreference); err != nil {
					t.Fatal(err)
				}
				if waited := time.Since(began); waited < 3*time.Second || waited > 6*time.Second {
					t.Errorf("sent by another daemon after %s", waited)
				}
				if ends := second.ends("x"); ends != c.ends {
					t.Errorf("%d ends are counted, want %d", ends, c.ends)
				}
			})
		})
	}
}

// Several requests that run at a back end when it ends see one end.
func TestOneEndSeenByManyDaemonsCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		var callers sync.WaitGroup
		for number := range 12 {
			callers.Go(func() {
				d := f.living()[number%3]
				d.track("x").Ended(d.alive, "e0", nil)
			})
		}
		callers.Wait()
		time.Sleep(settled)
		for _, d := range f.living() {
			if ends := d.ends("x"); ends != 1 {
				t.Errorf("%s counts %d ends", d.Self, ends)
			}
		}
	})
}

// A back end that starts again under its ID may end again.
func TestLaterEndUnderTheSameIDCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		for number := range Limit {
			f.living()[number%2].endOnce("x", "e0")
			time.Sleep(sameEndWindow)
		}
		f.end(f.living()[1])
		restarted := f.start(1, 2)
		time.Sleep(settled)
		for _, d := range []*guardDaemon{f.living()[0], restarted} {
			if ends := d.ends("x"); ends != Limit {
				t.Errorf("%s counts %d ends, want %d", d.Self, ends, Limit)
			}
		}
	})
}

func TestContentIsSentOnceMoreWhileTheStoreIsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		f.store.SetDown(true)
		first, second := f.living()[0], f.living()[1]
		first.endOnce("x", "e0")
		second.endOnce("x", "e1")
		for _, d := range f.living() {
			began := time.Now()
			if err := d.track("x").Admit(d.alive, noPreference); !errors.Is(err, ErrUnconfirmed) {
				t.Errorf("%s: a content that has ended two back ends: %v", d.Self, err)
			}
			if took := time.Since(began); took > 2*outageWait {
				t.Errorf("%s: refused after %s", d.Self, took)
			}
		}
		f.end(first)
		f.end(second)
		f.store.SetDown(false)
		time.Sleep(2 * time.Second)
		restarted := f.start(0, 2)
		time.Sleep(settled)
		if ends := restarted.ends("x"); ends != 2 {
			t.Errorf("after the outage %d ends are on record, want 2, though the daemons that saw them are gone", ends)
		}
	})
}

// The store may take a reservation seconds after the request has given up on it.
func TestReservationThatTheStoreTakesLateHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		first, second := f.living()[0], f.living()[1]
		first.endOnce("x", "e0")
		f.store.SetFault(func(store.Partition, store.Writer) memory.Fault { return memory.FaultDelayed })
		tracker := first.track("x")
		if err := tracker.Admit(first.alive, noPreference); err != nil {
			t.Fatal(err) // the store seems to be out
		}
		tracker.Close()
		time.Sleep(time.Second)
		f.store.SetFault(nil)
		time.Sleep(time.Second)
		f.store.ApplyDelayed()
		time.Sleep(settled)
		began := time.Now()
		if err := second.track("x").Admit(second.alive, noPreference); err != nil || time.Since(began) > settled {
			t.Errorf("another daemon's request waited %s: %v", time.Since(began), err)
		}
	})
}

func TestSuspectsAvoidEachOthersBackEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		first, second := f.living()[0], f.living()[1]
		first.endOnce("x", "e0")
		first.endOnce("y", "e0")
		x, y := first.track("x"), second.track("y")
		if err := x.Admit(first.alive, func() string { return "e7" }); err != nil {
			t.Fatal(err)
		}
		if err := y.Admit(second.alive, func() string { return "e7" }); err != nil {
			t.Fatal(err)
		}
		if avoided := y.Avoid(); len(avoided) != 1 || avoided[0] != "e7" {
			t.Errorf("the later one avoids %v", avoided)
		}
		if avoided := x.Avoid(); len(avoided) != 0 {
			t.Errorf("the earlier one avoids %v", avoided)
		}
		x.Answered()
		time.Sleep(settled)
		if avoided := y.Avoid(); len(avoided) != 0 {
			t.Errorf("after the end of the earlier one it avoids %v", avoided)
		}
	})
}

func TestContentsHaveALifetime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		d := f.living()[0]
		d.endOnce("suspected", "e0")
		for number := range Limit {
			d.endOnce("refused", fmt.Sprint("f", number))
		}
		counts := func() [2]int {
			suspected, refused := d.table.counts(time.Now())
			return [2]int{suspected, refused}
		}
		if got := counts(); got != [2]int{1, 1} {
			t.Errorf("suspected and refused are %v", got)
		}
		time.Sleep(suspectLifetime + 2*sweepInterval)
		if got := counts(); got != [2]int{0, 1} {
			t.Errorf("after the lifetime of suspects %v", got)
		}
		time.Sleep(refusalLifetime)
		if got := counts(); got != [2]int{} {
			t.Errorf("after the lifetime of refusals %v", got)
		}
		f.checkRecords(0)
	})
}

func TestMostEndsAreKeptLongestWhenThereAreTooManyContents(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTable(knownRuns{})
	add := func(content string, ends int, at time.Time) {
		digest := (&Content{Target: content}).Digest()
		for number := range ends {
			instance := fmt.Sprint("e", number)
			table.put(endKey(digest, instance), Send{State: StateEnded, Instance: instance, AtMS: at.UnixMilli()}, int64(number), now)
		}
	}
	add("refused", Limit, now.Add(-time.Minute))
	for number := range maxContents + 1 {
		add(fmt.Sprint(number), 1, now.Add(time.Duration(number)*time.Millisecond))
	}
	removed := table.removable(now)
	if len(removed) != 2 {
		t.Fatalf("%d sends are removed, want 2", len(removed))
	}
	table.drop(removed...)
	for _, content := range []string{"refused", "2", fmt.Sprint(maxContents)} {
		if !table.mayContain(&Content{Target: content}) {
			t.Errorf("%s is removed", content)
		}
	}
}

func TestRecordsOfOtherBuildsAreRead(t *testing.T) {
	table := newTable(knownRuns{})
	digest := (&Content{Target: "x"}).Digest()
	_, malformed := table.apply(store.Update{Records: []store.Record{
		{Key: string(endKey(digest, "e0")), Value: []byte(`{"state":"ended","instance":"e0","later":{"a":1}}`)},
		{Key: string(endKey(digest, "e1")), Value: []byte(`{"state":"another"}`)},
		{Key: string(endKey(digest, "e2")), Value: []byte(`{"state":7}`)},
		{Key: string(endKey(digest, "e3")), Value: []byte(`no JSON`)},
		{Key: "no key", Value: []byte(`{"state":"ended"}`)},
	}}, time.Unix(0, 0))
	known, isSuspect, _ := table.standing(digest, time.Unix(0, 0))
	if len(malformed) != 4 || !isSuspect || known.ends != 1 {
		t.Errorf("malformed are %q, %d ends are counted", malformed, known.ends)
	}
}

func TestContentsThatAreNotSuspectedCostNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		d := f.living()[0]
		body := make([]byte, 1<<20)
		serve := func() {
			tracker := Tracker{guard: d.Guard, content: Content{Method: "POST", Target: "/", Body: body}}
			if err := tracker.Admit(d.alive, nil); err != nil {
				t.Error(err)
			}
			tracker.Answered()
			tracker.Close()
		}
		if allocations := testing.AllocsPerRun(100, serve); allocations > 1 { // the Tracker itself
			t.Errorf("a request allocates %v times", allocations)
		}
		d.endOnce("x", "e0")
		appends := f.store.Appends()
		var tracker Tracker
		for range 100 {
			tracker = Tracker{guard: d.Guard, content: Content{Method: "POST", Target: "/", Body: body}}
			if err := tracker.Admit(d.alive, nil); err != nil {
				t.Error(err)
			}
			tracker.Answered()
			tracker.Close()
		}
		if tracker.digest != "" || f.store.Appends() != appends {
			t.Errorf("beside a suspect of another shape the digest is %q, %d appends are made", tracker.digest, f.store.Appends()-appends)
		}
	})
}

func TestQueueOfRecordsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.store.SetDown(true)
		d := f.living()[0]
		for number := range maxQueue + 100 {
			d.writer.append(store.Record{Key: fmt.Sprint(number), Value: []byte("v")})
		}
		if d.writer.size != maxQueue {
			t.Errorf("%d records wait, want %d", d.writer.size, maxQueue)
		}
		f.store.SetDown(false)
		d.Flush(t.Context())
		if d.writer.size != 0 {
			t.Errorf("%d records wait after the outage", d.writer.size)
		}
	})
}

func TestRequestsDoNotWaitLongForAListThatCannotBeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		f.store.SetDown(true)
		d := f.start(1, 1)
		for number, most := range []time.Duration{listWait, 0} {
			began := time.Now()
			if err := d.track("x").Admit(d.alive, noPreference); err != nil || time.Since(began) > most {
				t.Errorf("request %d waited %s: %v", number, time.Since(began), err)
			}
		}
	})
}

// The clock of the daemon that stored a send may be years ahead, and the record may be another writer's.
func TestSendsOfAWrongClockHaveALifetime(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTable(knownRuns{})
	digest := (&Content{Target: "x"}).Digest()
	table.put(endKey(digest, "e0"), Send{State: StateEnded, Instance: "e0", AtMS: now.AddDate(9, 0, 0).UnixMilli()}, 1, now)
	table.put(newSendKey(digest, 1), Send{State: StateReserved, HoldMS: 1 << 62, AtMS: now.UnixMilli()}, 2, now)
	if known, _, _ := table.standing(digest, now.Add(maxHold+2*holdMargin)); known.first != "" {
		t.Error("the reservation holds for longer than any")
	}
	if keys := table.removable(now.Add(suspectLifetime + time.Second)); len(keys) != 2 {
		t.Errorf("%d sends are removed after the lifetime of suspects, want 2", len(keys))
	}
}

func TestRefusalOfAContentIsLoggedOnce(t *testing.T) {
	now := time.Now()
	table := newTable(knownRuns{})
	digest := (&Content{Target: "x"}).Digest()
	for number := range Limit {
		table.put(endKey(digest, fmt.Sprint(number)), Send{State: StateEnded, Instance: fmt.Sprint(number)}, 1, now)
	}
	for number, want := range []bool{true, false} {
		if sends, isFirst := table.firstRefusal(digest); isFirst != want || isFirst && len(sends) != Limit {
			t.Errorf("refusal %d: first %v, with %d sends", number, isFirst, len(sends))
		}
	}
	table.put(answeredKey(digest, 1), Send{State: StateAnswered, Generation: 1}, 2, now)
	if _, isFirst := table.firstRefusal(digest); !isFirst {
		t.Error("a refusal after an answer is not the first")
	}
}
