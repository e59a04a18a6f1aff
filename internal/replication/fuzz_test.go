package replication

import (
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// FuzzReceive sends a daemon messages that no correct daemon would send. It
// must ignore them and keep running.
func FuzzReceive(f *testing.F) {
	const stranger = structs.DaemonID("10.0.0.9:7000#1")
	for _, message := range []peer.Message{
		&AppendRequest{Epoch: 2, Previous: 1, PreviousEpoch: 1, Entries: []Entry{{Index: 2, Epoch: 2}}},
		&AppendReply{Epoch: 1, Match: 9, Refused: true, Hint: 3},
		&VoteRequest{Epoch: 9, Last: 9, LastEpoch: 9},
		&VoteReply{Epoch: 2, Granted: true},
		&LeadershipTransfer{Epoch: 1},
		&SnapshotChunk{Epoch: 3, Index: 5, IndexEpoch: 3, Group: Group{stranger}, Total: 3, Data: []byte("abc")},
		&SnapshotChunkReply{Epoch: 1, Next: -1},
		&Dismiss{Epoch: 1 << 33},
		&RouteRequest{Shards: []structs.ShardNumber{0, 99}},
		&RouteReply{Routes: []ShardRoute{{Shard: 0, Epoch: 5, Leader: stranger}}},
		&Audit{Shards: []ShardEpoch{{Shard: 0, Epoch: 1}}},
	} {
		line, err := peer.Encode(stranger, stranger, message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		from, _, message, err := peer.Decode(line)
		if err != nil {
			return
		}
		fleet := newTestFleet(t, 1, 1)
		daemons := []*testDaemon{fleet.start(1, "a"), fleet.start(2, "b"), fleet.start(3, "c")}
		fleet.run(2 * time.Second)
		for _, d := range daemons {
			d.manager.Receive(from, message)
		}
		fleet.run(5 * time.Second)
	})
}

// FuzzGroupsStream appends an entry to the groups' stream that no correct
// daemon would write. The fleet must ignore it and keep a leader for its shard.
func FuzzGroupsStream(f *testing.F) {
	f.Add([]byte(`{"genesis":{"groups":[[7]],"daemons":[]}}`))
	f.Add([]byte(`{"claims":[{"shard":9,"generation":1,"claimant":"x"}],"notes":[{"shard":9,"epoch":1}]}`))
	f.Add([]byte(`{"notes":[{"shard":0,"epoch":1,"group":null}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, payload []byte) {
		fleet := newTestFleet(t, 1, 1)
		first := fleet.start(1, "a")
		fleet.start(2, "b")
		fleet.start(3, "c")
		fleet.run(2 * time.Second)
		fleet.log.append(first, framework.StreamGroups, "stranger", payload, func(structs.LogOffset, error) {})
		fleet.run(20 * time.Second)
	})
}
