package ledger

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// avoidSilent is how long a daemon that said nothing is asked last.
	avoidSilent = time.Second
	// avoidImpaired is how long a daemon is asked last for a shard whose
	// partition it could not reach, or that it had lost.
	avoidImpaired = time.Second
)

// candidate is a daemon that may hold a shard.
type candidate struct {
	daemon structs.DaemonID
	// rank orders candidates: lower ones are asked first.
	rank int
	hash uint64
}

// candidates returns the daemons to ask for a shard, best first: those that
// are alive in the order of a hash of daemon and shard, then those of which
// there was bad news.
func (s *Service) candidates(shard int, now time.Time) []structs.DaemonID {
	var list []candidate
	for _, member := range s.View.Members() {
		if member.State == membership.StateLeaving || member.State == membership.StateDead {
			continue
		}
		if member.Daemon.ID == s.Self && s.leaving.Load() {
			continue
		}
		list = append(list, candidate{
			daemon: member.Daemon.ID,
			rank:   s.rank(shard, member, now),
			hash:   xxhash.Sum64String(member.Daemon.ID.Address() + "/" + strconv.Itoa(shard)),
		})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.hash, a.hash))
	})
	daemons := make([]structs.DaemonID, 0, candidateTries)
	for _, c := range list[:min(len(list), candidateTries)] {
		daemons = append(daemons, c.daemon)
	}
	return daemons
}

func (s *Service) rank(shard int, member membership.Member, now time.Time) int {
	rank := 0
	if member.State == membership.StateSuspect {
		rank++
	}
	if s.avoided.isAvoided(shard, member.Daemon.ID, now) {
		rank++
	}
	return rank
}

// avoided remembers bad news about daemons. The zero value is ready.
type avoided struct {
	mutex   sync.Mutex
	shards  map[avoidedShard]time.Time
	daemons map[structs.DaemonID]time.Time
}

type avoidedShard struct {
	shard  int
	daemon structs.DaemonID
}

// note takes an answer that was none.
func (a *avoided) note(shard int, daemon structs.DaemonID, answer result) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	if a.shards == nil {
		a.shards = map[avoidedShard]time.Time{}
		a.daemons = map[structs.DaemonID]time.Time{}
	}
	if answer == resultMoved || answer == resultImpaired {
		a.shards[avoidedShard{shard, daemon}] = now.Add(avoidImpaired)
		return
	}
	a.daemons[daemon] = now.Add(avoidSilent)
}

func (a *avoided) isAvoided(shard int, daemon structs.DaemonID, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return now.Before(a.daemons[daemon]) || now.Before(a.shards[avoidedShard{shard, daemon}])
}
