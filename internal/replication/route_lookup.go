package replication

import (
	"cmp"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// routeLookup limits the traffic for finding leaders. Concurrent requests are
// batched, one message per daemon; repeated ones are sent with increasing
// delays and within a rate limit, so that a cut-off part of the fleet does not
// fill its links with requests that no daemon can answer.
type routeLookup struct {
	wanted map[structs.ShardNumber]bool
	// repeats limits the rate of repeated requests, including replies.
	repeats byteBudget
	// extras limits the rate of extra routes in replies.
	extras byteBudget
	// requestedAt is when requests were last sent.
	requestedAt time.Time
	// missingFrom is the shard from which the search for the next missing route
	// starts.
	missingFrom structs.ShardNumber
}

// byteBudget limits a byte rate; unused bytes accumulate up to a burst. The
// zero value is full.
type byteBudget struct {
	used      float64
	updatedAt time.Time
}

const (
	// repeatedRequestFanout is how many further daemons a repeated request asks.
	repeatedRequestFanout = 3
	// firstRequestFanout is how many daemons are asked at first.
	firstRequestFanout = 2
	// requestBatchDelay is how long requests wait to be batched with others.
	requestBatchDelay = 5 * time.Millisecond
	// maxRequestBackoffDoublings limits how often the delay between repeated
	// requests doubles from RouteRequestInterval.
	maxRequestBackoffDoublings = 2
	// requestBytesPerSecond and requestBurstBytes limit each byteBudget.
	requestBytesPerSecond = 500
	requestBurstBytes     = 8 << 10
	// Estimates of encoded sizes in bytes, request and reply together.
	estimatedMessageSize = 200
	estimatedShardSize   = 110
	// maxShardsPerRequest limits the shards of one request.
	maxShardsPerRequest = 32
)

func newRouteLookup() routeLookup { return routeLookup{wanted: map[structs.ShardNumber]bool{}} }

// take takes bytes for a message and reports whether there were enough.
func (a *byteBudget) take(now time.Time, size float64) bool {
	if !a.updatedAt.IsZero() {
		a.used = max(0, a.used-requestBytesPerSecond*max(0, now.Sub(a.updatedAt).Seconds()))
	}
	a.updatedAt = now
	if a.used+size > requestBurstBytes {
		return false
	}
	a.used += size
	return true
}

// requestRoute requests the leader of a shard from daemons that may know it,
// within the limits on repetition.
func (m *Manager) requestRoute(shard structs.ShardNumber) {
	now := m.Clock.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	entry := m.routes.entry(shard)
	pause := m.Settings.RouteRequestInterval << min(max(entry.requests-1, 0), maxRequestBackoffDoublings)
	if !entry.requestedAt.IsZero() && now.Sub(entry.requestedAt) < pause {
		return
	}
	entry.requestedAt = now
	entry.requests++
	first := len(m.routeLookup.wanted) == 0
	m.routeLookup.wanted[shard] = true
	if first {
		m.Clock.AfterFunc(requestBatchDelay, m.sendRouteRequests)
	}
}

// pendingRequest has the shards to request from one daemon.
type pendingRequest struct {
	to     structs.DaemonID
	shards []structs.ShardNumber
	// repeated is set when none of the shards is requested for the first time.
	repeated bool
	// first is set when the daemon is the most likely to know one of the
	// shards.
	first bool
}

// sendRouteRequests sends the batch: first requests always, repeated ones
// within the rate limit.
func (m *Manager) sendRouteRequests() {
	if m.isStopped() {
		return
	}
	often := m.noteRequest()
	for _, q := range m.groupRequests() {
		for shards := range slices.Chunk(q.shards, maxShardsPerRequest) {
			size := float64(estimatedMessageSize + estimatedShardSize*len(shards))
			m.mutex.Lock()
			granted := m.routeLookup.repeats.take(m.Clock.Now(), size) || !q.repeated
			m.mutex.Unlock()
			if granted {
				m.Transport.Send(q.to, m.newRouteRequest(shards, often && q.first && !q.repeated))
			}
		}
	}
}

// groupRequests assigns the wanted shards to the daemons to ask, those with the
// fewest requests first.
func (m *Manager) groupRequests() []*pendingRequest {
	type want struct {
		shard  structs.ShardNumber
		turn   int
		holder structs.DaemonID
	}
	m.mutex.Lock()
	wants := make([]want, 0, len(m.routeLookup.wanted))
	for shard := range m.routeLookup.wanted {
		entry := m.routes.entry(shard)
		wants = append(wants, want{shard, entry.requests, entry.holder})
	}
	clear(m.routeLookup.wanted)
	m.mutex.Unlock()
	slices.SortFunc(wants, func(a, b want) int {
		return cmp.Or(cmp.Compare(a.turn, b.turn), cmp.Compare(a.shard, b.shard))
	})
	var list []*pendingRequest
	for _, w := range wants {
		for i, daemon := range m.likelyHolders(w.shard, w.holder, w.turn) {
			var q *pendingRequest
			list, q = pendingRequestTo(list, daemon, w.turn > 1)
			q.shards = append(q.shards, w.shard)
			q.first = q.first || i == 0
		}
	}
	return list
}

// pendingRequestTo returns the request to a daemon, and adds one if there is
// none.
func pendingRequestTo(list []*pendingRequest, to structs.DaemonID, repeated bool) ([]*pendingRequest, *pendingRequest) {
	for _, q := range list {
		if q.to == to && q.repeated == repeated {
			return list, q
		}
	}
	q := &pendingRequest{to: to, repeated: repeated}
	return append(list, q), q
}

// likelyHolders returns daemons that may hold a shard: its last known member,
// its group in the platform's log, its placement by rendezvous hashing, and,
// for repeated requests, others in turn.
func (m *Manager) likelyHolders(shard structs.ShardNumber, holder structs.DaemonID, turn int) Group {
	var likely Group
	add := func(daemon structs.DaemonID) {
		if daemon != "" && daemon != m.Self.ID && m.Alive(daemon) && !likely.Contains(daemon) {
			likely = append(likely, daemon)
		}
	}
	add(holder)
	for _, daemon := range m.registry.group(shard) {
		add(daemon)
	}
	if turn <= 1 && len(likely) >= firstRequestFanout {
		return likely[:firstRequestFanout]
	}
	order := identifiers(ranked(shard, m.candidates()))
	for _, daemon := range order[:min(repeatedRequestFanout, len(order))] {
		add(daemon)
	}
	if turn > 1 && len(order) > 0 {
		for i := range repeatedRequestFanout {
			add(order[(turn*repeatedRequestFanout+i)%len(order)])
		}
	}
	return likely
}
