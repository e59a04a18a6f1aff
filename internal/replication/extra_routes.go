package replication

import (
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// A daemon that has just started knows no routes, and its callers' programs are
// spread over all shards. One request for each would cost some hundred bytes a
// shard. So while many routes are missing and requests are frequent, each
// request asks for more routes than it needs. A daemon with few callers may
// never need the rest.

const (
	// missingDivisor: a daemon asks for extra routes if it lacks more than one
	// in missingDivisor.
	missingDivisor = 8
	// frequentRequestPause is the interval below which requests count as
	// frequent.
	frequentRequestPause = time.Second
	// maxExtraRoutes limits the extra routes of a reply; extraRouteSize
	// estimates the encoded size of one in bytes.
	maxExtraRoutes = 32
	extraRouteSize = 60
)

// noteRequest records that requests are sent now and reports whether the
// previous ones were sent recently.
func (m *Manager) noteRequest() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.Clock.Now()
	last := m.routeLookup.requestedAt
	m.routeLookup.requestedAt = now
	return !last.IsZero() && now.Sub(last) < frequentRequestPause
}

// newRouteRequest returns a request, with a request for extra routes if more is
// set.
func (m *Manager) newRouteRequest(shards []structs.ShardNumber, more bool) *RouteRequest {
	request := &RouteRequest{Shards: shards}
	if more {
		request.From, request.More = m.nextMissingRoute()
	}
	return request
}

// nextMissingRoute returns the next shard in turn whose route is not known, and
// false when few are missing.
func (m *Manager) nextMissingRoute() (structs.ShardNumber, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	count := structs.ShardNumber(m.Settings.Shards)
	missing, next, found := 0, structs.ShardNumber(0), false
	for i := range count {
		shard := (m.routeLookup.missingFrom + i) % count
		if m.routes.knowsLeader(shard) {
			continue
		}
		missing++
		if !found {
			next, found = shard, true
		}
	}
	if missing <= m.Settings.Shards/missingDivisor {
		return 0, false
	}
	m.routeLookup.missingFrom = (next + maxExtraRoutes) % count
	return next, true
}

// knowsLeader reports whether a leader of the shard is known, even if it is
// dead by now.
func (t *routeTable) knowsLeader(shard structs.ShardNumber) bool {
	if local := t.local[shard]; local.member && local.route.Leader != "" {
		return true
	}
	entry := t.cached[shard]
	return entry != nil && entry.route.Leader != ""
}

// extraRoutes lists the known routes of the shards from request.From on, within
// the rate limit.
func (m *Manager) extraRoutes(request *RouteRequest) []ShardRoute {
	shards := m.knownFrom(request.From, request.Shards)
	m.mutex.Lock()
	granted := m.routeLookup.extras.take(m.Clock.Now(), float64(extraRouteSize*len(shards)))
	m.mutex.Unlock()
	if !granted {
		return nil
	}
	routes := make([]ShardRoute, 0, len(shards))
	for _, shard := range shards {
		if route := m.shardRoute(shard); route.Leader != "" {
			routes = append(routes, route)
		}
	}
	return routes
}

// knownFrom lists up to maxExtraRoutes shards with a known leader, from a shard
// on with wraparound, without those asked for.
func (m *Manager) knownFrom(from structs.ShardNumber, asked []structs.ShardNumber) []structs.ShardNumber {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	count := structs.ShardNumber(m.Settings.Shards)
	var shards []structs.ShardNumber
	for i := range count {
		shard := (from%count + i) % count
		if len(shards) < maxExtraRoutes && m.routes.knowsLeader(shard) && !slices.Contains(asked, shard) {
			shards = append(shards, shard)
		}
	}
	return shards
}
