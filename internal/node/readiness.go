package node

import (
	"fmt"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// maxSampledShards limits the shards that one check of the readiness looks
	// up.
	maxSampledShards = 64
	// readyPercent of the sampled shards must have a known leader before a
	// daemon becomes ready, or partlyReadyPercent for partlyReadyDuration.
	readyPercent = 90
	// partlyReadyPercent must have a known leader for a daemon to stay ready.
	partlyReadyPercent  = 50
	partlyReadyDuration = 10 * time.Second
)

// Readiness reports whether callers should be sent to a daemon.
type Readiness struct {
	Ready bool
	// Detail gives the reason why it is not ready, in one short sentence.
	Detail string
}

// readinessTracker decides readiness by the share of shards whose leader a
// daemon knows. A daemon that has just started waits for nearly all of them;
// one that was ready stays so with half, since a lost shard must not make every
// daemon unready.
type readinessTracker struct {
	mutex       sync.Mutex
	wasReady    bool
	partlySince time.Time
}

// update reports whether the daemon is ready, given that led of sampled shards
// have a known leader at now.
func (t *readinessTracker) update(now time.Time, led, sampled int) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if led*100 < sampled*partlyReadyPercent {
		t.wasReady = false
		t.partlySince = time.Time{}
		return false
	}
	if t.partlySince.IsZero() {
		t.partlySince = now
	}
	nearlyAll := led*100 >= sampled*readyPercent
	waited := now.Sub(t.partlySince) >= partlyReadyDuration
	t.wasReady = t.wasReady || nearlyAll || waited
	return t.wasReady
}

// Readiness reports whether calls can be served here: a configuration is in
// force, the daemon is not stopping, and it knows the leaders of the shards.
// For shards without a known leader it requests the route for a later check.
func (n *Node) Readiness() Readiness {
	if n.Leaving() {
		return Readiness{Detail: "the daemon is stopping"}
	}
	if n.Configurations.Current() == nil {
		return Readiness{Detail: "no configuration is in force"}
	}
	led, sampled := sampleLeaders(n.Settings.Shards, n.Route)
	if !n.readiness.update(n.Clock.Now(), led, sampled) {
		return Readiness{Detail: fmt.Sprintf("a leader is known for %d of %d shards", led, sampled)}
	}
	return Readiness{Ready: true}
}

// sampleLeaders counts the known leaders in an evenly spread sample of the
// shards.
func sampleLeaders(shards int, route func(structs.ShardNumber) replication.Route) (led, sampled int) {
	sampled = min(shards, maxSampledShards)
	for i := range sampled {
		if route(structs.ShardNumber(i*shards/sampled)).Leader != "" {
			led++
		}
	}
	return led, sampled
}
