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
	w := newWorld(t, 6, configuration.Guards{})
	w.append("first", 0, 0)
	w.run(3 * time.Second)
	w.requireRevision(1)
	got := w.publish(w.daemons[2], "second", 1, 2)
	w.run(time.Second)
	if got.count != 1 || got.err != nil || got.verdict.Revision != 2 {
		t.Errorf("publication answered %+v", got)
	}
	w.requireRevision(2)
}

func TestRacingOperators(t *testing.T) {
	w := newWorld(t, 3, configuration.Guards{})
	w.append("first", 0, 0)
	w.run(3 * time.Second)
	answers := []*answer{w.publish(w.daemons[0], "a", 1, 5), w.publish(w.daemons[1], "b", 1, 6)}
	w.run(3 * time.Second)
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
	w.requireRevision(2)
}

func TestLostAppendAnswers(t *testing.T) {
	w := newWorld(t, 3, configuration.Guards{})
	w.append("first", 0, 0)
	w.run(3 * time.Second)
	w.log.AnswerLossChance = 1
	w.log.ReadLag = 1500 * time.Millisecond
	got := w.publish(w.daemons[0], "second", 1, 2)
	w.run(20 * time.Second)
	if got.count != 1 || got.err != nil || got.verdict.Revision != 2 {
		t.Errorf("publication answered %+v", got)
	}
	w.requireRevision(2)
}

func TestOutcomeUnknownWhileLogIsDown(t *testing.T) {
	w := newWorld(t, 3, configuration.Guards{})
	w.append("first", 0, 0)
	w.run(3 * time.Second)
	w.log.Down = true
	got := w.publish(w.daemons[0], "second", 1, 2)
	w.run(20 * time.Second)
	if got.count != 1 || !eris.Is(got.err, configuration.ErrOutcomeUnknown) {
		t.Errorf("publication answered %+v", got)
	}
	w.log.Down = false
	again := w.publish(w.daemons[1], "second", 1, 2)
	w.run(5 * time.Second)
	if again.err != nil {
		t.Errorf("publication under the same identifier answered %+v", again)
	}
	w.requireRevision(2)
}

func TestZoneCutOffFromLogFollowsPeers(t *testing.T) {
	w := newWorld(t, 6, configuration.Guards{})
	w.append("first", 0, 0)
	w.run(3 * time.Second)
	w.network.Cut("zone-0", "log")
	w.network.Cut("zone-1", "log")
	w.append("second", 1, 2)
	w.run(3 * time.Second)
	w.requireRevision(2)
}

func TestLaggingReaderNeverTakesBack(t *testing.T) {
	w := newWorld(t, 3, configuration.Guards{})
	w.fill(5)
	w.run(3 * time.Second)
	w.log.ReadLag = time.Hour
	for base := 5; base < 10; base++ {
		w.append(fmt.Sprintf("late-%d", base), base, base)
		w.run(200 * time.Millisecond)
	}
	w.run(5 * time.Second)
	w.log.ReadLag = 0
	w.run(3 * time.Second)
	w.requireRevision(10)
}

// A daemon that restarts while the log is down must not serve before it has
// the configuration of the peers that it can hear.
func TestFreshDaemonServesNothingOlder(t *testing.T) {
	for name, prepare := range map[string]func(*world){
		"log down":    func(w *world) { w.log.Down = true },
		"log lagging": func(w *world) { w.log.ReadLag = 1000 * time.Hour },
		"log good":    func(*world) {},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 3, configuration.Guards{})
			w.fill(40)
			w.run(10 * time.Second)
			w.requireRevision(40)
			prepare(w)
			fresh := w.start(1, configuration.Guards{})
			fresh.store.Subscribe(func(status configuration.Status) {
				if status.Configuration != nil && status.Revision < 40 {
					t.Errorf("served revision %d", status.Revision)
				}
			})
			w.run(3 * time.Second)
			w.requireRevision(40)
		})
	}
}

func TestFreshDaemonAloneWithoutLogServesNothing(t *testing.T) {
	w := newWorld(t, 1, configuration.Guards{})
	w.log.Down = true
	w.run(time.Minute)
	if w.daemons[0].store.Serving() {
		t.Error("a daemon that has read nothing and heard nobody serves")
	}
}

func TestStartFromSnapshotInLog(t *testing.T) {
	w := newWorld(t, 1, configuration.Guards{})
	w.append("first", 0, 0)
	w.run(2 * time.Second)
	for base := 1; base < 100; base++ {
		w.append(fmt.Sprintf("op-%d", base), base, base)
		w.run(time.Second)
	}
	snapshots := len(w.log.Entries(configuration.StreamSnapshots))
	if snapshots < 4 || snapshots > 10 {
		t.Errorf("%d snapshots of 100 entries, want one per 16 or so", snapshots)
	}
	digest := w.daemons[0].store.Digest()
	offset := w.daemons[0].store.Offset()
	fresh := w.start(0, configuration.Guards{})
	w.run(3 * time.Second)
	if fresh.store.Digest() != digest || fresh.store.Offset() != offset || !fresh.store.Serving() {
		t.Errorf("the fresh daemon stands at %+v, want offset %d digest %x", fresh.store.Status(), offset, digest)
	}
	if read := fresh.entriesRead[framework.StreamConfiguration]; read >= int(offset) || fresh.entriesRead[configuration.StreamSnapshots] != 1 {
		t.Errorf("the fresh daemon read %v entries of %d, want one snapshot and few entries", fresh.entriesRead, offset)
	}
}

// A fleet that starts on a long log leaves a snapshot behind even when no
// change follows.
func TestSnapshotWithoutFurtherChange(t *testing.T) {
	w := newWorld(t, 3, configuration.Guards{})
	w.fill(40)
	w.run(20 * time.Second)
	if snapshots := len(w.log.Entries(configuration.StreamSnapshots)); snapshots != 1 {
		t.Errorf("%d snapshots, want 1", snapshots)
	}
}

// Peers that have forgotten the first entries hand over a snapshot in parts.
func TestStartFromPeersSnapshot(t *testing.T) {
	w := newWorld(t, 3, configuration.Guards{})
	w.append("first", 0, 0)
	for i := range 9 {
		w.appendTenants(fmt.Sprintf("tenants-%d", i), 1+i, 400*i, 800)
	}
	w.run(5 * time.Second)
	w.requireRevision(10)
	w.log.Down = true
	parts := 0
	w.network.OnReceive = func(_, _ structs.DaemonID, kind peer.Kind, _ int) {
		if kind == (*configuration.SnapshotPart)(nil).MessageKind() {
			parts++
		}
	}
	w.start(1, configuration.Guards{})
	w.run(3 * time.Second)
	w.requireRevision(10)
	if parts < 3 {
		t.Errorf("%d parts of a snapshot were sent, want several", parts)
	}
}

// Each guard that is switched off must break what it guards.
func TestGuards(t *testing.T) {
	t.Run("configuration_late", func(t *testing.T) {
		w := newWorld(t, 3, configuration.Guards{SkipDissemination: true})
		w.append("first", 0, 0)
		w.run(3 * time.Second)
		w.append("second", 1, 2)
		w.run(time.Minute)
		if revision := w.daemons[0].store.Revision(); revision != 1 {
			t.Errorf("revision %d is in force, want 1: the guard has no effect", revision)
		}
	})
	t.Run("configuration_reverted", func(t *testing.T) {
		w := newWorld(t, 3, configuration.Guards{AcceptOlder: true})
		back := false
		w.daemons[0].store.Subscribe(func(status configuration.Status) {
			back = back || (status.Configuration == nil && status.Serving)
		})
		w.append("first", 0, 0)
		w.run(3 * time.Second)
		w.log.ReadLag = time.Hour
		w.run(time.Minute)
		if !back {
			t.Error("a lagging reader took nothing back: the guard has no effect")
		}
	})
}
