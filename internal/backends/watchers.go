package backends

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// assignWatchers assigns the engines of a cell to its daemons by rendezvous hashing
// with a bound: each engine goes to the daemon with the highest score that does not
// have its even share yet. No daemon sends more than its share of summaries, and few
// engines are reassigned when daemons join or leave. The result is in the order of
// engines.
func assignWatchers(engines []structs.EngineID, daemons []structs.DaemonID) []structs.DaemonID {
	if len(daemons) == 0 {
		return make([]structs.DaemonID, len(engines))
	}
	share := (len(engines) + len(daemons) - 1) / len(daemons)
	given := make(map[structs.DaemonID]int, len(daemons))
	watchers := make([]structs.DaemonID, 0, len(engines))
	for _, engine := range engines {
		open := slices.DeleteFunc(slices.Clone(daemons), func(daemon structs.DaemonID) bool { return given[daemon] >= share })
		next := watcherOf(engine, open)
		given[next]++
		watchers = append(watchers, next)
	}
	return watchers
}

// watcherOf returns the daemon with the highest score for the engine (rendezvous
// hashing): few engines are reassigned when daemons join or leave.
func watcherOf(engine structs.EngineID, daemons []structs.DaemonID) structs.DaemonID {
	if len(daemons) == 0 {
		return ""
	}
	return slices.MaxFunc(daemons, func(a, b structs.DaemonID) int {
		return cmp.Or(cmp.Compare(watchScore(engine, a), watchScore(engine, b)), cmp.Compare(b, a))
	})
}

func watchScore(engine structs.EngineID, daemon structs.DaemonID) uint64 {
	return xxhash.Sum64String(string(engine) + " " + string(daemon))
}
