package ledger

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/store"
)

// streamOf returns a turn whose stream begins at a version and may be resumed for four seconds.
func streamOf(id, version string, revision int) Turn {
	return Turn{
		ID: id, Program: "p", BudgetTokens: 100_000, MaxTokens: 10, Retention: time.Minute,
		Origin: &Origin{Service: "s", Version: version, Revision: revision}, OriginTTLMS: 4000,
	}
}

// resuming returns a turn that resumes another one's stream.
func resuming(id, resumes string) Turn {
	return Turn{ID: id, Program: "p", BudgetTokens: 100_000, MaxTokens: 10, Retention: time.Minute, Resumes: resumes}
}

// expectOrigin resumes a stream and compares its origin.
func expectOrigin(t *testing.T, s *Service, turn Turn, want *Origin) {
	t.Helper()
	var grant Grant
	eventually(t, func() (err error) {
		grant, err = s.Begin(testContext(t), turn)
		return err
	})
	if diff := cmp.Diff(want, grant.Origin); diff != "" {
		t.Errorf("origin of %s (-want +got):\n%s", turn.Resumes, diff)
	}
}

// TestOriginsOutliveTheirHolder passes a shard on as planned, loses its holder, and restarts all.
func TestOriginsOutliveTheirHolder(t *testing.T) {
	for name, lose := range map[string]func(f *testFleet){
		"planned stop": func(f *testFleet) {
			holder := f.holderOf("p")
			f.leave(holder)
			time.Sleep(time.Second)
			f.kill(holder)
		},
		"killed": func(f *testFleet) { f.kill(f.holderOf("p")) },
		"all killed": func(f *testFleet) {
			f.killAll()
			for number := range 3 {
				f.start(daemonID(number, 2))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 3)
				begin(t, f.service(daemonID(0, 1)), streamOf("first", "v1", 0))
				begin(t, f.service(daemonID(1, 1)), streamOf("second", "v1.10", 0))
				time.Sleep(2 * settleDelay)
				lose(f)
				s := f.service(f.ids()[0])
				expectOrigin(t, s, resuming("a", "second"), &Origin{Service: "s", Version: "v1.10"})
				expectOrigin(t, s, resuming("b", "first"), &Origin{Service: "s", Version: "v1"})
				expectOrigin(t, s, resuming("c", "a"), nil)
				time.Sleep(10 * time.Second)
				expectOrigin(t, s, resuming("d", "first"), nil)
			})
		})
	}
}

func TestLatestRevisionOfAnOriginCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		s := f.service(daemonID(0, 1))
		for _, revision := range []int{0, 2, 1, 0} { // the last two were delayed
			begin(t, s, streamOf("first", fmt.Sprint("v", revision), revision))
		}
		expectOrigin(t, s, resuming("a", "first"), &Origin{Service: "s", Version: "v2", Revision: 2})
	})
}

// TestOriginsOfAProgramAreBounded begins more streams than a program's account keeps.
func TestOriginsOfAProgramAreBounded(t *testing.T) {
	var a account
	for number := range 3 * originsLimit {
		turn := streamOf(fmt.Sprint(number), "v1", 0)
		a.noteOrigin(turn, int64(number))
	}
	if len(a.Origins) != originsLimit || a.originOf(fmt.Sprint(3*originsLimit-1)) == nil || a.originOf("0") != nil {
		t.Errorf("%d origins are kept, want the last %d", len(a.Origins), originsLimit)
	}
	long := streamOf("long", "v1", 0)
	long.OriginTTLMS = int64(24 * time.Hour / time.Millisecond)
	a.noteOrigin(long, 0)
	if until := a.Origins["long"].UntilMS; until > MaxOriginTTL.Milliseconds() {
		t.Errorf("an origin is kept until %d ms", until)
	}
}

// TestLookingForAnOriginLeavesNoAccount: names may be made up.
func TestLookingForAnOriginLeavesNoAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		s := f.service(daemonID(0, 1))
		expectOrigin(t, s, Turn{ID: "a", Program: "made-up", Retention: time.Hour, Resumes: "made-up", OriginOnly: true}, nil)
		for number := range 10 * testShards { // so that each shard appends
			begin(t, s, Turn{ID: fmt.Sprint(number), Program: fmt.Sprint("p", number), BudgetTokens: 100, MaxTokens: 10})
			end(t, s, Outcome{Turn: fmt.Sprint(number), Program: fmt.Sprint("p", number), UsedTokens: 10})
		}
		time.Sleep(2 * settleDelay)
		for _, partition := range s.Partitions {
			records, _, err := store.Newest(testContext(t), f.store, partition)
			if err != nil {
				t.Fatal(err)
			}
			for _, record := range records {
				if record.Key == accountPrefix+"made-up" {
					t.Errorf("the store has %s", record.Value)
				}
			}
		}
	})
}
