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
	// silentPenalty is how long a daemon that did not answer is not asked first.
	silentPenalty = time.Second
	// impairedPenalty is how long a daemon that could not reach a shard's partition is not
	// asked first for that shard.
	impairedPenalty = time.Second
	// hashBitsDropped is the number of bits of a hash that a float64 cannot represent
	// exactly.
	hashBitsDropped = 11
)

// chooseTarget returns the daemon to ask for a shard, "" if there is none left. This is the
// holder, unless it was asked already or failed to answer. Then failedEpoch is its epoch,
// and the target is asked to take the shard.
func (s *Service) chooseTarget(shard int, asked []structs.DaemonID, now time.Time) (target structs.DaemonID, failedEpoch uint64) {
	holder := s.known.get(shard)
	if holder.Daemon == "" {
		return s.successor(shard, asked, now), 0
	}
	id, mayBeAlive := s.incarnationAt(structs.DaemonID(holder.Daemon))
	isUsable := mayBeAlive && !slices.Contains(asked, id) && !s.avoidList.isSilent(id, holder.learnedAt, now)
	switch {
	case isUsable && holder.released:
		return id, holder.Epoch // it is to claim the shard
	case isUsable:
		return id, 0
	}
	return s.successor(shard, append(slices.Clone(asked), id, structs.DaemonID(holder.Daemon)), now), holder.Epoch
}

// incarnationAt returns the incarnation of a shard's holder to ask, false if its daemon is
// dead. It is the one currently at the holder's address: a restarted daemon takes its
// shards back. So after the loss of all daemons, they agree on who takes which shard before
// they have discovered each other.
func (s *Service) incarnationAt(holder structs.DaemonID) (run structs.DaemonID, mayBeAlive bool) {
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

// successor returns the daemon that should hold a shard if the excepted ones cannot: the
// first by rendezvous hashing among those without a recent failure, or otherwise among all
// others that are alive.
func (s *Service) successor(shard int, except []structs.DaemonID, now time.Time) structs.DaemonID {
	best, bestRank, bestScore := structs.DaemonID(""), 0, 0.0
	for _, member := range s.View.Members() {
		id := member.Daemon.ID
		if !s.canHold(member) || slices.Contains(except, id) {
			continue
		}
		rank := 0
		if member.State == membership.StateSuspect || s.avoidList.isAvoided(shard, id, time.Time{}, now) {
			rank = 1
		}
		score := rendezvousScore(shard, member.Daemon)
		if best == "" || rank < bestRank || (rank == bestRank && score > bestScore) {
			best, bestRank, bestScore = id, rank, score
		}
	}
	return best
}

// rendezvousScore returns a daemon's score for a shard; the one with the highest score
// should hold it. A daemon's share of the shards is proportional to its capacity (weighted
// rendezvous hashing).
func rendezvousScore(shard int, daemon structs.Daemon) float64 {
	hash := xxhash.Sum64String(daemon.ID.Address() + "/" + strconv.Itoa(shard))
	fraction := (float64(hash>>hashBitsDropped) + 0.5) / (1 << (64 - hashBitsDropped))
	return float64(max(daemon.Capacity, 1)) / -math.Log(fraction)
}

// canHold reports whether a member may hold shards.
func (s *Service) canHold(member membership.Member) bool {
	if member.Daemon.ID == s.Self {
		return !s.isLeaving()
	}
	return member.State == membership.StateAlive || member.State == membership.StateSuspect
}

// mayBeAlive implements fleet. It is true for a leaving daemon, which holds its shards
// until it has passed them on, and for one that was not discovered yet, as daemons that
// start together discover each other gradually.
func (s *Service) mayBeAlive(daemon string) bool {
	id := structs.DaemonID(daemon)
	run, lives := s.incarnationAt(id)
	return lives && (run == id || run.Incarnation() == structs.AnyIncarnation)
}

// preferredHolder implements fleet.
func (s *Service) preferredHolder(shard int, except ...structs.DaemonID) string {
	return string(s.successor(shard, except, time.Now()))
}

// avoidList remembers recent failures of daemons to answer. The zero value is ready.
type avoidList struct {
	mutex   sync.Mutex
	shards  map[daemonShard]failureReport
	daemons map[structs.DaemonID]failureReport
	// sweptAt is when expired failures were last dropped.
	sweptAt time.Time
}

type daemonShard struct {
	shard  int
	daemon structs.DaemonID
}

// failureReport applies until it expires, and only to claims older than itself: a daemon
// that claimed a shard afterwards may be asked again.
type failureReport struct {
	at    time.Time
	until time.Time
}

func (b failureReport) applies(since, now time.Time) bool {
	return now.Before(b.until) && !b.at.Before(since)
}

// avoidSweepInterval separates sweeps of expired failures. They are needed because
// restarted daemons have new IDs, so nothing else removes the entries of their former
// incarnations.
const avoidSweepInterval = 10 * time.Second

// forget drops expired failures.
func (a *avoidList) forget(now time.Time) {
	if now.Sub(a.sweptAt) < avoidSweepInterval {
		return
	}
	a.sweptAt = now
	maps.DeleteFunc(a.shards, func(_ daemonShard, report failureReport) bool { return !now.Before(report.until) })
	maps.DeleteFunc(a.daemons, func(_ structs.DaemonID, report failureReport) bool { return !now.Before(report.until) })
}

// note records the result of asking a daemon.
func (a *avoidList) note(shard int, daemon structs.DaemonID, answer result) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	if a.shards == nil {
		a.shards = map[daemonShard]failureReport{}
		a.daemons = map[structs.DaemonID]failureReport{}
	}
	a.forget(now)
	key := daemonShard{shard, daemon}
	switch {
	case answer == resultSilent:
		a.daemons[daemon] = failureReport{at: now, until: now.Add(silentPenalty)}
		return
	case answer == resultImpaired:
		a.shards[key] = failureReport{at: now, until: now.Add(impairedPenalty)}
	case answer.isFinal():
		delete(a.shards, key)
	}
	delete(a.daemons, daemon)
}

// isSilent reports whether a daemon recently did not answer, after a given time. A holder
// that answers but cannot reach the store is still asked first, as it may have headroom.
func (a *avoidList) isSilent(daemon structs.DaemonID, since, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.daemons[daemon].applies(since, now)
}

// isAvoided reports whether a daemon recently failed for a shard, after a given time.
func (a *avoidList) isAvoided(shard int, daemon structs.DaemonID, since, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.daemons[daemon].applies(since, now) || a.shards[daemonShard{shard, daemon}].applies(since, now)
}
