package backends

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// watchersOf deals the engines of a cell out over its daemons: each engine goes
// to the daemon with the highest hash together with it that has not got its
// even share yet. So no daemon passes on more than its share, and few engines
// change hands when daemons come and go. The result is in the order of engines.
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

// watcher returns the daemon with the highest hash together with the engine:
// when daemons come and go, few engines change hands.
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
