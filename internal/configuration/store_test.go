package configuration_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

func TestChangeComesIntoForceEverywhere(t *testing.T) {
	f := newFleet(t, 6, configuration.Guards{})
	f.append("first", 0, 0)
	f.run(3 * time.Second)
	f.requireRevision(1)
	got := f.publish(f.daemons[2], "second", 1, 2)
	f.run(time.Second)
	if got.count != 1 || got.err != nil || got.verdict.Revision != 2 {
		t.Errorf("publication answered %+v", got)
	}
	f.requireRevision(2)
}

func TestRacingOperators(t *testing.T) {
	f := newFleet(t, 3, configuration.Guards{})
	f.append("first", 0, 0)
	f.run(3 * time.Second)
	answers := []*answer{f.publish(f.daemons[0], "a", 1, 5), f.publish(f.daemons[1], "b", 1, 6)}
	f.run(3 * time.Second)
	accepted, refused := answers[0], answers[1]
	if accepted.err != nil {
		accepted, refused = refused, accepted
	}
	var conflict *configuration.RefusedError
	if accepted.err != nil || !errors.As(refused.err, &conflict) {
		t.Fatalf("answers %+v and %+v, want one accepted and one refused", answers[0], answers[1])
	}
	if conflict.Verdict.Reason != configuration.VerdictStaleBase || conflict.InForce == nil || conflict.InForce.OperationID != accepted.verdict.OperationID {
		t.Errorf("the conflict is %v", conflict)
	}
	f.requireRevision(2)
}

func TestLostAppendAnswers(t *testing.T) {
	f := newFleet(t, 3, configuration.Guards{})
	f.append("first", 0, 0)
	f.run(3 * time.Second)
	f.log.AnswerLossChance = 1
	f.log.ReadLag = 1500 * time.Millisecond
	got := f.publish(f.daemons[0], "second", 1, 2)
	f.run(20 * time.Second)
	if got.count != 1 || got.err != nil || got.verdict.Revision != 2 {
		t.Errorf("publication answered %+v", got)
	}
	f.requireRevision(2)
}

func TestOutcomeUnknownWhileLogIsDown(t *testing.T) {
	f := newFleet(t, 3, configuration.Guards{})
	f.append("first", 0, 0)
	f.run(3 * time.Second)
	f.log.Down = true
	got := f.publish(f.daemons[0], "second", 1, 2)
	f.run(20 * time.Second)
	if got.count != 1 || !eris.Is(got.err, configuration.ErrOutcomeUnknown) {
		t.Errorf("publication answered %+v", got)
	}
	f.log.Down = false
	again := f.publish(f.daemons[1], "second", 1, 2)
	f.run(5 * time.Second)
	if again.err != nil {
		t.Errorf("publication under the same identifier answered %+v", again)
	}
	f.requireRevision(2)
}

func TestZoneCutOffFromLogFollowsPeers(t *testing.T) {
	f := newFleet(t, 6, configuration.Guards{})
	f.append("first", 0, 0)
	f.run(3 * time.Second)
	f.network.Cut("zone-0", "log")
	f.network.Cut("zone-1", "log")
	f.append("second", 1, 2)
	f.run(3 * time.Second)
	f.requireRevision(2)
}

func TestLaggingReaderNeverRollsBack(t *testing.T) {
	f := newFleet(t, 3, configuration.Guards{})
	f.appendChanges(5)
	f.run(3 * time.Second)
	f.log.ReadLag = time.Hour
	for base := 5; base < 10; base++ {
		f.append(fmt.Sprintf("late-%d", base), base, base)
		f.run(200 * time.Millisecond)
	}
	f.run(5 * time.Second)
	f.log.ReadLag = 0
	f.run(3 * time.Second)
	f.requireRevision(10)
}

// A restarted daemon must not serve an older configuration than its peers, even
// while the log is down or returns stale reads.
func TestRestartedDaemonServesNoOlderRevision(t *testing.T) {
	for name, prepare := range map[string]func(*fleet){
		"log down":    func(f *fleet) { f.log.Down = true },
		"log lagging": func(f *fleet) { f.log.ReadLag = 1000 * time.Hour },
		"log good":    func(*fleet) {},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3, configuration.Guards{})
			f.appendChanges(40)
			f.run(10 * time.Second)
			f.requireRevision(40)
			prepare(f)
			fresh := f.start(1, configuration.Guards{})
			fresh.store.Subscribe(func(status configuration.Status) {
				if status.Configuration != nil && status.Revision < 40 {
					t.Errorf("served revision %d", status.Revision)
				}
			})
			f.run(3 * time.Second)
			f.requireRevision(40)
		})
	}
}

func TestFreshDaemonAloneWithoutLogServesNothing(t *testing.T) {
	f := newFleet(t, 1, configuration.Guards{})
	f.log.Down = true
	f.run(time.Minute)
	if f.daemons[0].store.Serving() {
		t.Error("a daemon serves without having read the log or reached a peer")
	}
}

func TestStartFromSnapshotInLog(t *testing.T) {
	f := newFleet(t, 1, configuration.Guards{})
	f.append("first", 0, 0)
	f.run(2 * time.Second)
	for base := 1; base < 100; base++ {
		f.append(fmt.Sprintf("op-%d", base), base, base)
		f.run(time.Second)
	}
	snapshots := len(f.log.Entries(configuration.StreamSnapshots))
	if snapshots < 4 || snapshots > 10 {
		t.Errorf("%d snapshots of 100 entries, want one per 16 or so", snapshots)
	}
	digest := f.daemons[0].store.Digest()
	offset := f.daemons[0].store.Offset()
	fresh := f.start(0, configuration.Guards{})
	f.run(3 * time.Second)
	if fresh.store.Digest() != digest || fresh.store.Offset() != offset || !fresh.store.Serving() {
		t.Errorf("the status of the fresh daemon is %+v, want offset %d digest %x", fresh.store.Status(), offset, digest)
	}
	if read := fresh.entriesRead[framework.StreamConfiguration]; read >= int(offset) || fresh.entriesRead[configuration.StreamSnapshots] != 1 {
		t.Errorf("the fresh daemon read %v entries of %d, want one snapshot and few entries", fresh.entriesRead, offset)
	}
}

// A fleet that starts on a long log must write a snapshot even if no further
// change follows.
func TestSnapshotWithoutFurtherChange(t *testing.T) {
	f := newFleet(t, 3, configuration.Guards{})
	f.appendChanges(40)
	f.run(20 * time.Second)
	if snapshots := len(f.log.Entries(configuration.StreamSnapshots)); snapshots != 1 {
		t.Errorf("%d snapshots, want 1", snapshots)
	}
}

// Peers that no longer retain the first entries must send a snapshot in parts.
func TestStartFromPeersSnapshot(t *testing.T) {
	f := newFleet(t, 3, configuration.Guards{})
	f.append("first", 0, 0)
	for i := range 9 {
		f.appendTenants(fmt.Sprintf("tenants-%d", i), 1+i, 400*i, 800)
	}
	f.run(5 * time.Second)
	f.requireRevision(10)
	f.log.Down = true
	parts := 0
	f.network.OnReceive = func(_, _ structs.DaemonID, kind peer.Kind, _ int) {
		if kind == (*configuration.SnapshotPart)(nil).MessageKind() {
			parts++
		}
	}
	f.start(1, configuration.Guards{})
	f.run(3 * time.Second)
	f.requireRevision(10)
	if parts < 3 {
		t.Errorf("%d parts of a snapshot were sent, want several", parts)
	}
}

// Each disabled guard must cause the fault that it prevents.
func TestGuards(t *testing.T) {
	t.Run("configuration_late", func(t *testing.T) {
		f := newFleet(t, 3, configuration.Guards{SkipDissemination: true})
		f.append("first", 0, 0)
		f.run(3 * time.Second)
		f.append("second", 1, 2)
		f.run(time.Minute)
		if revision := f.daemons[0].store.Revision(); revision != 1 {
			t.Errorf("revision %d is in force, want 1: the guard has no effect", revision)
		}
	})
	t.Run("configuration_reverted", func(t *testing.T) {
		f := newFleet(t, 3, configuration.Guards{AcceptOlder: true})
		back := false
		f.daemons[0].store.Subscribe(func(status configuration.Status) {
			back = back || (status.Configuration == nil && status.Serving)
		})
		f.append("first", 0, 0)
		f.run(3 * time.Second)
		f.log.ReadLag = time.Hour
		f.run(time.Minute)
		if !back {
			t.Error("a stale read caused no rollback: the guard has no effect")
		}
	})
}
