package ledger

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// avoidSilent is how long a daemon that said nothing is not asked first.
	avoidSilent = time.Second
	// avoidImpaired is the same for one that could not reach the partition of
	// a shard, for that shard.
	avoidImpaired = time.Second
	// hashBitsDropped of a hash do not fit into a float64 exactly.
	hashBitsDropped = 11
)

// choose returns the daemon to ask for a shard, "" if there is none left. That
// is the holder, unless it was asked already or there is bad news of it: then
// failed is its epoch, and another daemon is asked to take the shard.
func (s *Service) choose(shard int, asked []structs.DaemonID, now time.Time) (target structs.DaemonID, failed uint64) {
	holder := s.known.get(shard)
	if holder.Daemon == "" {
		return s.successor(shard, asked, now), 0
	}
	id, mayLive := s.runAt(structs.DaemonID(holder.Daemon))
	isUsable := mayLive && !slices.Contains(asked, id) && !s.avoided.isSilent(id, holder.learnedAt, now)
	switch {
	case isUsable && holder.released:
		return id, holder.Epoch // it is to claim the shard
	case isUsable:
		return id, 0
	}
	return s.successor(shard, append(slices.Clone(asked), id, structs.DaemonID(holder.Daemon)), now), holder.Epoch
}

// runAt returns the run to ask in place of a shard's holder, false if its daemon is
// dead. That is the one at the holder's address: a daemon that was started again
// takes its shards back, so that after the loss of all daemons all agree on who
// takes what before they have heard of each other.
func (s *Service) runAt(holder structs.DaemonID) (run structs.DaemonID, mayLive bool) {
	address := holder.Address()
	if address == s.Self.Address() {
		return s.Self, true
	}
	member, heardOf := s.View.Lookup(address)
	switch {
	case !heardOf:
		return structs.NewDaemonID(address, structs.AnyIncarnation), true
	case member.Daemon.ID.Incarnation() < holder.Incarnation():
		return holder, true
	}
	return member.Daemon.ID, member.State != membership.StateDead
}

// successor returns the daemon that should hold a shard if some cannot: the
// first by rendezvous among those of which there is no bad news, or else among
// all others that live.
func (s *Service) successor(shard int, except []structs.DaemonID, now time.Time) structs.DaemonID {
	best, bestRank, bestScore := structs.DaemonID(""), 0, 0.0
	for _, member := range s.View.Members() {
		id := member.Daemon.ID
		if !s.mayHold(member) || slices.Contains(except, id) {
			continue
		}
		rank := 0
		if member.State == membership.StateSuspect || s.avoided.isAvoided(shard, id, time.Time{}, now) {
			rank = 1
		}
		score := rendezvousScore(shard, member.Daemon)
		if best == "" || rank < bestRank || (rank == bestRank && score > bestScore) {
			best, bestRank, bestScore = id, rank, score
		}
	}
	return best
}

// rendezvousScore is a daemon's claim on a shard; the highest should hold it.
// Each daemon is first for as many shards as its capacity is of that of all
// (weighted rendezvous hashing).
func rendezvousScore(shard int, daemon structs.Daemon) float64 {
	hash := xxhash.Sum64String(daemon.ID.Address() + "/" + strconv.Itoa(shard))
	fraction := (float64(hash>>hashBitsDropped) + 0.5) / (1 << (64 - hashBitsDropped))
	return float64(max(daemon.Capacity, 1)) / -math.Log(fraction)
}

// mayHold tells whether a member may hold shards.
func (s *Service) mayHold(member membership.Member) bool {
	if member.Daemon.ID == s.Self {
		return !s.isLeaving()
	}
	return member.State == membership.StateAlive || member.State == membership.StateSuspect
}

// mayLive implements fleet. A daemon that is leaving holds its shards until it
// has passed them on, and one that was not heard of yet may hold one, too: daemons
// that start together hear of each other little by little.
func (s *Service) mayLive(daemon string) bool {
	id := structs.DaemonID(daemon)
	run, lives := s.runAt(id)
	return lives && (run == id || run.Incarnation() == structs.AnyIncarnation)
}

// preferred implements fleet.
func (s *Service) preferred(shard int, except ...structs.DaemonID) string {
	return string(s.successor(shard, except, time.Now()))
}

// avoided remembers bad news about daemons. The zero value is ready.
type avoided struct {
	mutex   sync.Mutex
	shards  map[avoidedShard]badNews
	daemons map[structs.DaemonID]badNews
	// lookedAt is when what is over was last dropped.
	lookedAt time.Time
}

type avoidedShard struct {
	shard  int
	daemon structs.DaemonID
}

// badNews holds for a while, and only against who held the shard when it came:
// a daemon that claimed a shard since can be asked again.
type badNews struct {
	at    time.Time
	until time.Time
}

func (b badNews) holds(since, now time.Time) bool {
	return now.Before(b.until) && !b.at.Before(since)
}

// avoidedLook separates looks at which bad news is over: daemons that start again have other names
// each time, so nobody asks for what is known of their former runs.
const avoidedLook = 10 * time.Second

// forget drops bad news that is over.
func (a *avoided) forget(now time.Time) {
	if now.Sub(a.lookedAt) < avoidedLook {
		return
	}
	a.lookedAt = now
	maps.DeleteFunc(a.shards, func(_ avoidedShard, news badNews) bool { return !now.Before(news.until) })
	maps.DeleteFunc(a.daemons, func(_ structs.DaemonID, news badNews) bool { return !now.Before(news.until) })
}

// note takes a daemon's answer.
func (a *avoided) note(shard int, daemon structs.DaemonID, answer result) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	if a.shards == nil {
		a.shards = map[avoidedShard]badNews{}
		a.daemons = map[structs.DaemonID]badNews{}
	}
	a.forget(now)
	key := avoidedShard{shard, daemon}
	switch {
	case answer == resultSilent:
		a.daemons[daemon] = badNews{at: now, until: now.Add(avoidSilent)}
		return
	case answer == resultImpaired:
		a.shards[key] = badNews{at: now, until: now.Add(avoidImpaired)}
	case answer.isFinal():
		delete(a.shards, key)
	}
	delete(a.daemons, daemon)
}

// isSilent tells whether a daemon said nothing lately, and since a time. A
// holder that only cannot reach the store is asked first all the same: it may
// have headroom.
func (a *avoided) isSilent(daemon structs.DaemonID, since, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.daemons[daemon].holds(since, now)
}

// isAvoided tells whether there is bad news of a daemon that came since a time.
func (a *avoided) isAvoided(shard int, daemon structs.DaemonID, since, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.daemons[daemon].holds(since, now) || a.shards[avoidedShard{shard, daemon}].holds(since, now)
}
