package ledger

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/mintpulley/mintpulley/internal/store"
)

// endKept ends a turn that goes on from another one and is kept for a retention.
func (s *state) endKept(id, previous string, retention time.Duration, now time.Time) result {
	if _, outcome := s.begin(Turn{ID: id, Program: "p", Previous: previous, Retention: retention}, now); outcome != resultOK {
		return outcome
	}
	return s.end(Outcome{Turn: id, Program: "p", Retention: retention, Kept: &KeptTurn{ID: id, Previous: previous, Input: []byte(id)}}, now)
}

// sweep drops expired records in the sweeps of some time, and returns the time after it.
func (s *state) sweep(now time.Time, length time.Duration) time.Time {
	for end := now.Add(length); now.Before(end); {
		now = now.Add(min(expireInterval, end.Sub(now)))
		s.expire(now, expireLimit)
	}
	return now
}

// recordedShard is what the store has of a shard.
type recordedShard map[string][]byte

// append appends all changes of a state.
func (r recordedShard) append(t rapid.TB, s *state) {
	changes, err := s.takeDirty()
	if err != nil {
		t.Fatal(err)
	}
	for _, record := range changes {
		r[record.Key] = record.Value
	}
}

// takeOver returns the state of a daemon that takes the shard over without a report of the former
// holder. With late, it reads the turns in the background.
func (r recordedShard) takeOver(t rapid.TB, late bool, now time.Time) *state {
	s := newState(now)
	var turns []store.Record
	for key, value := range r {
		record := store.Record{Key: key, Value: value}
		if len(value) == 0 {
			continue
		}
		if late && strings.HasPrefix(key, turnPrefix) {
			turns = append(turns, record)
			continue
		}
		if err := s.load(record); err != nil {
			t.Fatal(err)
		}
	}
	s.restoreAges(nil, now)
	for _, record := range turns {
		if err := s.loadLate(record); err != nil {
			t.Fatal(err)
		}
	}
	s.restoreChains()
	return s
}

// Guards against a chain that is dropped while a later turn of it is kept by a route with a longer retention.
func TestChainIsKeptForTheLongestRetentionOfItsTurns(t *testing.T) {
	const short, long = 15 * time.Second, time.Minute
	for name, takeOver := range map[string]func(records recordedShard, s *state, now time.Time) *state{
		"the holder stays":           func(_ recordedShard, s *state, _ time.Time) *state { return s },
		"takeover":                   func(records recordedShard, _ *state, now time.Time) *state { return records.takeOver(t, false, now) },
		"takeover, texts read later": func(records recordedShard, _ *state, now time.Time) *state { return records.takeOver(t, true, now) },
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			s, records := newState(now), recordedShard{}
			s.endKept("first", "", short, now)
			now = s.sweep(now, 3*time.Second)
			s.endKept("second", "first", long, now)
			s.endKept("beside", "first", short, now) // must not shorten what the second one needs
			records.append(t, s)
			s = takeOver(records, s, now)
			now = s.sweep(now, long-time.Second)
			if got := s.endKept("third", "second", long, now); got != resultOK {
				t.Fatalf("a turn after one that is kept: %q", got)
			}
			records.append(t, s)
			s = takeOver(records, s, now)
			now = s.sweep(now, long-time.Second)
			if !s.hasChain("third") {
				t.Error("the chain of a turn that is kept is gone")
			}
			s.sweep(now, retentionSlack)
			if left := len(s.turns); left > 0 {
				t.Errorf("%d turns are kept beyond their retention", left)
			}
		})
	}
}

// Guards against turns that are dropped early because a successor's clock runs behind those of the turns'
// records, which it reads later: the ledger of a region has no accounts that would show the time.
func TestClockDoesNotFallBehindRecordsThatAreReadLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, records := newState(time.Now()), recordedShard{}
		keep := func(id string) {
			s.end(Outcome{Turn: id, Program: "p", Retention: time.Minute, Kept: &KeptTurn{ID: id}}, time.Now())
			records.append(t, s)
		}
		keep("first")
		time.Sleep(40 * time.Second)
		keep("second")
		s = records.takeOver(t, true, time.Now())
		keep("third")
		s = records.takeOver(t, false, time.Now())
		time.Sleep(time.Minute)
		s.expire(time.Now(), expireLimit)
		if s.turns["second"] == nil || s.turns["third"] == nil {
			t.Errorf("turns were dropped within their retention: %d are kept", len(s.turns))
		}
	})
}

// promisedTurn is a turn that was answered whole.
type promisedTurn struct {
	id    string
	until time.Time
}

func TestTurnsAreKeptAsPromised(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		retentions := rapid.SampledFrom([]time.Duration{time.Second, 5 * time.Second, 15 * time.Second, time.Minute})
		now := time.Now()
		s, records := newState(now), recordedShard{}
		var promised []promisedTurn
		for i := range rapid.IntRange(2, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				previous := ""
				if k := rapid.IntRange(-1, len(promised)-1).Draw(t, "previous"); k >= 0 && !now.After(promised[k].until) {
					previous = promised[k].id
				}
				id, retention := fmt.Sprint("t", i), retentions.Draw(t, "retention")
				if got := s.endKept(id, previous, retention, now); got != resultOK {
					t.Fatalf("%s after %q: %q", id, previous, got)
				}
				promised = append(promised, promisedTurn{id: id, until: now.Add(retention)})
			case 2:
				now = s.sweep(now, time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds"))*time.Second)
			case 3:
				records.append(t, s)
				s = records.takeOver(t, rapid.Bool().Draw(t, "late"), now)
			}
			for _, turn := range promised {
				if !now.After(turn.until) && !s.hasChain(turn.id) {
					t.Fatalf("the chain of %s, which is kept for another %s, is gone", turn.id, turn.until.Sub(now))
				}
			}
		}
		s.sweep(now, time.Minute+retentionSlack)
		if left := len(s.turns); left > 0 {
			t.Errorf("%d turns are kept beyond any retention", left)
		}
	})
}

// A chain is kept as promised also by daemons that take its shard one after the other.
func TestChainOfTwoRoutesOutlivesItsHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const short, long = 15 * time.Second, time.Minute
		f := newTestFleet(t, 2)
		const neighbourTurns = 35
		names := programsOfOneShard(f.service(f.ids()[0]), 1+neighbourTurns)
		program, neighbours := names[0], names[1:]
		take := func(id, previous string, retention time.Duration) {
			s := f.service(f.ids()[0])
			begin(t, s, Turn{ID: id, Program: program, Previous: previous, Retention: retention})
			end(t, s, Outcome{Turn: id, Program: program, Retention: retention, Kept: &KeptTurn{ID: id, Previous: previous, Input: []byte(id)}})
		}
		take("first", "", short)
		take("second", "first", long)
		started := time.Now()
		for second, neighbour := range neighbours { // their turns make the holder look for expired records
			useProgram(t, f.service(f.ids()[0]), neighbour, "of-"+neighbour, short)
			time.Sleep(time.Second)
			if second%10 == 9 {
				former := f.holderOf(program)
				f.start(daemonID(second, 2))
				f.kill(former)
			}
		}
		if passed := time.Since(started); passed > long {
			t.Fatalf("the test took %s, longer than the turn is kept", passed)
		}
		take("third", "second", long)
	})
}
