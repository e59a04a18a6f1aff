package poison

import (
	"maps"
	"sync"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// knownRuns tells which runs of back ends and daemons are over. The zero value knows nothing.
type knownRuns struct {
	// isInstanceRunning reports whether a back end is known to run, by its ID; nil if that is not known.
	isInstanceRunning func(instance string) bool
	// daemons are the latest runs of the daemons; nil if they are not known.
	daemons *latestRuns
}

// isRunning reports whether a back end is known to run.
func (k knownRuns) isRunning(instance string) bool {
	return k.isInstanceRunning != nil && k.isInstanceRunning(instance)
}

// isDaemonReplaced reports whether a run of a daemon is certainly over, as a later one has its address.
func (k knownRuns) isDaemonReplaced(daemon structs.DaemonID) bool {
	return k.daemons != nil && k.daemons.isReplaced(daemon)
}

// latestRuns holds the latest run of each daemon, by its address. It is safe for concurrent use.
type latestRuns struct {
	mutex        sync.Mutex
	incarnations map[string]uint64
}

// newLatestRuns returns the latest runs of a view's members, and follows them.
func newLatestRuns(view membership.View) *latestRuns {
	r := &latestRuns{incarnations: map[string]uint64{}}
	view.Subscribe(r.note)
	for _, member := range view.Members() {
		r.note(member)
	}
	return r
}

// note notes a run of a daemon, also one that is over itself.
func (r *latestRuns) note(member membership.Member) {
	id := member.Daemon.ID
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.incarnations[id.Address()] = max(r.incarnations[id.Address()], id.Incarnation())
}

// keepOnly forgets the runs at other addresses than the members'.
func (r *latestRuns) keepOnly(members []membership.Member) {
	addresses := map[string]bool{}
	for _, member := range members {
		addresses[member.Daemon.ID.Address()] = true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maps.DeleteFunc(r.incarnations, func(address string, _ uint64) bool { return !addresses[address] })
}

func (r *latestRuns) isReplaced(daemon structs.DaemonID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.incarnations[daemon.Address()] > daemon.Incarnation()
}
