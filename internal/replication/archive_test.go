package replication

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// startArchived starts a fleet of three with one shard, which has an archive.
func startArchived(t *testing.T, seed uint64) (*testFleet, []*testDaemon) {
	f := newTestFleet(t, seed, 1)
	f.settings.ArchivedShards = 1
	daemons := []*testDaemon{f.start(1, "a"), f.start(2, "b"), f.start(3, "c")}
	f.run(3 * time.Second)
	return f, daemons
}

// replaceAll ends all runs, and starts three other daemons after a while.
func (f *testFleet) replaceAll(daemons []*testDaemon) {
	for _, d := range daemons {
		f.crash(d, true)
	}
	f.run(time.Second)
	f.start(4, "a")
	f.start(5, "b")
	f.start(6, "c")
}

// awaitArchive waits until all records so far are in the archive.
func (f *testFleet) awaitArchive() { f.run(3 * f.settings.ArchiveInterval) }

func (f *testFleet) wantValues(want ...string) {
	f.t.Helper()
	leader := f.leaderOf(shard)
	if leader == nil {
		f.t.Fatal("nobody leads the shard")
	}
	if diff := cmp.Diff(want, leader.values(shard)); diff != "" {
		f.t.Error(diff)
	}
}

func (f *testFleet) wantRecovered(times int) {
	f.t.Helper()
	machine := f.leaderOf(shard).manager.replica(shard).machine.(*testMachine)
	if len(machine.recoveredFrom) != times {
		f.t.Errorf("recovered from %v, want %d recorded recoveries", machine.recoveredFrom, times)
	}
}

func TestLostShardIsRestoredFromItsArchive(t *testing.T) {
	f, daemons := startArchived(t, 60)
	f.mustRecord(shard, "one")
	f.awaitArchive()
	f.mustRecord(shard, "two")
	f.awaitArchive()
	f.replaceAll(daemons)
	f.run(30 * time.Second)
	f.wantValues("one", "two")
	f.wantRecovered(1)
	f.mustRecord(shard, "three")
	f.mustRecord(shard, "four")
	for _, d := range f.daemons[3:] {
		if diff := cmp.Diff([]string{"one", "two", "three"}, d.values(shard)[:3]); diff != "" {
			t.Errorf("%s: %s", d.self.ID, diff)
		}
	}
}

func TestShardIsLostAndRecoveredTwice(t *testing.T) {
	f, daemons := startArchived(t, 61)
	f.mustRecord(shard, "one")
	f.awaitArchive()
	f.replaceAll(daemons)
	f.run(30 * time.Second)
	f.mustRecord(shard, "two")
	f.awaitArchive()
	second := f.daemons[3:6]
	f.replaceAll(second)
	f.run(30 * time.Second)
	f.wantValues("one", "two")
}

func TestNewLeaderStartsANewArchiveChain(t *testing.T) {
	f, daemons := startArchived(t, 62)
	f.mustRecord(shard, "one")
	f.awaitArchive()
	f.crash(f.leaderOf(shard), false)
	f.run(3 * time.Second)
	f.mustRecord(shard, "two")
	f.awaitArchive()
	f.replaceAll(daemons)
	f.run(30 * time.Second)
	f.wantValues("one", "two")
}

func TestProposalsAreAcknowledgedWhileTheLogIsDown(t *testing.T) {
	f, daemons := startArchived(t, 63)
	f.mustRecord(shard, "one")
	f.awaitArchive()
	f.log.down = true
	for i := range 20 {
		f.mustRecord(shard, fmt.Sprint("unarchived ", i))
	}
	f.log.down = false
	f.run(maxArchiveRetryDelay + 10*time.Second)
	f.log.down = true
	f.replaceAll(daemons)
	f.run(20 * time.Second)
	if f.leaderOf(shard) != nil {
		t.Fatal("the shard has a leader although its archive cannot be read")
	}
	f.log.down = false
	f.run(40 * time.Second)
	if got := len(f.leaderOf(shard).values(shard)); got != 21 {
		t.Errorf("%d values, want all 21 once the log had been back for a while", got)
	}
}

func TestClaimantWaitsForTheArchive(t *testing.T) {
	f, daemons := startArchived(t, 64)
	f.mustRecord(shard, "one")
	f.awaitArchive()
	f.log.archivesDown = true
	f.replaceAll(daemons)
	f.run(time.Minute)
	if f.leaderOf(shard) != nil {
		t.Fatal("the shard has a leader although its claimant cannot read the archive")
	}
	f.log.archivesDown = false
	f.run(10 * time.Second)
	f.wantValues("one")
}

func TestLostAppendsOfTheArchiveAreLookedUp(t *testing.T) {
	f, daemons := startArchived(t, 65)
	f.mustRecord(shard, "one")
	f.awaitArchive()
	f.log.lostAnswerRate = 0.7
	for i := range 5 {
		f.mustRecord(shard, fmt.Sprint("value ", i))
		f.run(5 * time.Second)
	}
	f.run(5 * time.Minute)
	f.log.lostAnswerRate = 0
	f.replaceAll(daemons)
	f.run(40 * time.Second)
	f.wantValues("one", "value 0", "value 1", "value 2", "value 3", "value 4")
}

func TestPausedHolderOfALostGroupIsRefused(t *testing.T) {
	f, daemons := startArchived(t, 66)
	f.mustRecord(shard, "one")
	f.awaitArchive()
	paused := f.leaderOf(shard)
	old := paused.app.led[shard].leadership
	f.pause(paused, true)
	delete(f.machines, paused.self.ID.Address())
	f.replaceAll(others(daemons, paused))
	f.run(40 * time.Second)
	f.mustRecord(shard, "two")
	f.pause(paused, false)
	var proposed, confirmed error
	old.Queue().Do(func() {
		old.Propose([]structs.Record{record("stale")}, func(err error) { proposed = err })
		old.Confirm(func(err error) { confirmed = err })
	})
	f.run(10 * time.Second)
	if !errors.Is(proposed, ErrLost) || !errors.Is(confirmed, ErrLost) {
		t.Errorf("stale leader: proposal %v, confirmation %v", proposed, confirmed)
	}
	f.wantValues("one", "two")
}

func TestLargeSnapshotIsWrittenInPieces(t *testing.T) {
	f, daemons := startArchived(t, 67)
	var want []string
	for i := range 8 {
		value := make([]byte, 100<<10)
		for j := range value {
			value[j] = byte('a' + f.random.IntN(26))
		}
		want = append(want, fmt.Sprint(i, string(value)))
		f.mustRecord(shard, want[i])
	}
	// A new leader starts with a snapshot.
	f.crash(f.leaderOf(shard), false)
	f.run(2 * time.Minute)
	stream := f.log.archives[archiveStream(shard)]
	pieces := 0
	for _, entry := range stream {
		if len(entry.Payload) > 256<<10 {
			t.Errorf("an entry of %d bytes", len(entry.Payload))
		}
		var piece archivePiece
		if err := json.Unmarshal(entry.Payload, &piece); err != nil {
			t.Fatal(err)
		}
		pieces = max(pieces, piece.Pieces)
	}
	if pieces < 3 {
		t.Errorf("the largest part has %d pieces", pieces)
	}
	f.replaceAll(daemons)
	f.run(40 * time.Second)
	f.wantValues(want...)
}

// fixedLog is a log with one stream, which clients cannot change.
type fixedLog struct{ entries []framework.LogEntry }

func (l *fixedLog) Append(framework.StreamName, string, []byte, func(structs.LogOffset, error)) {}

func (l *fixedLog) Read(_ framework.StreamName, from structs.LogOffset, limit int, done func([]framework.LogEntry, error)) {
	first := min(int(from), len(l.entries))
	done(l.entries[first:min(first+limit, len(l.entries))], nil)
}

func (l *fixedLog) add(t testing.TB, pieces ...archivePiece) {
	t.Helper()
	for _, piece := range pieces {
		payload, err := json.Marshal(piece)
		if err != nil {
			t.Fatal(err)
		}
		l.entries = append(l.entries, framework.LogEntry{Offset: structs.LogOffset(len(l.entries)), Payload: payload})
	}
}

// readAll reads the latest state in a log.
func (l *fixedLog) readAll() (*archivedState, error) {
	m := &Manager{Options: Options{Log: l}}
	var state *archivedState
	var failed error
	m.readArchive(shard, func(read *archivedState, err error) { state, failed = read, err })
	return state, failed
}

func part(t testing.TB, chain chainID, number int, content any) []archivePiece {
	t.Helper()
	pieces, _, err := encodePart(chain, number, content)
	if err != nil {
		t.Fatal(err)
	}
	return pieces
}

func TestReaderTakesTheNewestWholeChain(t *testing.T) {
	old, torn := chainID{Epoch: 1, Index: 3}, chainID{Epoch: 2, Index: 90}
	for length := range 100 {
		log := &fixedLog{}
		log.add(t, part(t, old, 0, archiveBase{Index: 3, Epoch: 1, State: json.RawMessage(`[]`)})...)
		for i := range length {
			index := structs.Index(4 + i)
			log.add(t, part(t, old, i+1, []Entry{{Index: index, Epoch: 1}})...)
		}
		unfinished := part(t, torn, 0, archiveBase{Index: 90, Epoch: 2, State: json.RawMessage(`[]`)})
		unfinished[0].Pieces = 2
		log.add(t, unfinished...)
		state, err := log.readAll()
		if err != nil || state == nil {
			t.Fatalf("%d deltas: state %v, error %v", length, state, err)
		}
		if index, _ := state.last(); index != structs.Index(3+length) {
			t.Errorf("%d deltas: the state goes up to %d", length, index)
		}
	}
}

func TestReaderStopsAtAMissingDelta(t *testing.T) {
	id, log := chainID{Epoch: 1, Index: 3}, &fixedLog{}
	log.add(t, part(t, id, 0, archiveBase{Index: 3, Epoch: 1, State: json.RawMessage(`[]`)})...)
	log.add(t, part(t, id, 1, []Entry{{Index: 4, Epoch: 1}})...)
	log.add(t, part(t, id, 3, []Entry{{Index: 6, Epoch: 1}})...)
	state, err := log.readAll()
	if err != nil || state == nil {
		t.Fatal(err)
	}
	if index, _ := state.last(); index != 4 {
		t.Errorf("the state goes up to %d, want 4: entry 5 is missing", index)
	}
}

// FuzzArchive passes a reader malformed entries.
func FuzzArchive(f *testing.F) {
	id := chainID{Epoch: 1, Index: 3}
	for _, piece := range append(part(f, id, 0, archiveBase{Index: 3}), part(f, id, 1, []Entry{{Index: 4}})...) {
		payload, err := json.Marshal(piece)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(payload, payload)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		log := &fixedLog{entries: []framework.LogEntry{{Payload: first}, {Offset: 1, Payload: second}}}
		if state, err := log.readAll(); err == nil && state != nil {
			state.last()
		}
	})
}
