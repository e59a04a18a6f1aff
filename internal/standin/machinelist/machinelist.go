// Package machinelist is a stand-in for the platform's list of live and
// leaving machines. The published list lags behind the true one.
package machinelist

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/standin/control"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// pathMachines is the list; a machine's address follows it.
const pathMachines = "/machines"

// parameterSince is the query parameter for changes since a version.
const parameterSince = "since"

// Faults are the faults of the list.
type Faults struct {
	control.ServiceFaults
	// Lag is the age of the published list.
	Lag control.Duration `json:"lag,omitempty"`
	// Frozen keeps the published list as it is while set.
	Frozen bool `json:"frozen,omitempty"`
}

// List is the stand-in. It implements http.Handler: GET /machines reads the
// published list, GET /machines?since=VERSION the changes since a version from
// an earlier read (the full list for an empty one), PUT /machines replaces the
// true list, PUT /machines/ADDRESS sets one machine, DELETE /machines/ADDRESS
// removes one, GET and PUT /faults.
type List struct {
	// Faults may be set at any time.
	Faults control.Faults[Faults]

	chance *control.Chance
	// run distinguishes this list's versions from those of another run.
	run   int64
	mutex sync.Mutex
	// history holds the latest versions; those before index visible are kept
	// for readers that request changes since them.
	history []version
	visible int
	// frozen is the published version while isFrozen is set.
	isFrozen bool
	frozen   version
}

// keptVersions is the number of versions kept before the visible one.
const keptVersions = 64

// version is the list from a point in time on.
type version struct {
	number   int
	from     time.Time
	machines []structs.Machine
}

// New returns a list that publishes changes after lag. The initial list is
// published at once.
func New(machines []structs.Machine, lag time.Duration) *List {
	l := &List{chance: control.NewChance(1), run: time.Now().UnixNano(), history: []version{{machines: machines}}}
	_ = l.Faults.Set(Faults{Lag: control.Duration(lag)})
	l.Faults.OnChange(l.freeze)
	return l
}

func (l *List) freeze(faults Faults) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if faults.Frozen && !l.isFrozen {
		l.frozen = l.asOf(faults.Lag)
	}
	l.isFrozen = faults.Frozen
}

// Set replaces the true list.
func (l *List) Set(machines []structs.Machine) {
	l.update(func([]structs.Machine) []structs.Machine { return machines })
}

// Put adds a machine, or replaces the one at its address.
func (l *List) Put(machine structs.Machine) {
	l.update(func(machines []structs.Machine) []structs.Machine {
		return append(withoutAddress(machines, machine.Address), machine)
	})
}

// Remove takes a machine off the true list.
func (l *List) Remove(address string) {
	l.update(func(machines []structs.Machine) []structs.Machine { return withoutAddress(machines, address) })
}

func withoutAddress(machines []structs.Machine, address string) []structs.Machine {
	return slices.DeleteFunc(slices.Clone(machines), func(m structs.Machine) bool { return m.Address == address })
}

func (l *List) update(change func([]structs.Machine) []structs.Machine) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	next := change(l.history[len(l.history)-1].machines)
	number := l.history[len(l.history)-1].number + 1
	l.history = append(l.history, version{number: number, from: time.Now(), machines: next})
}

// published returns the list as published now.
func (l *List) published() []structs.Machine { return l.read("").Machines }

// read returns the published list, as changes if since is a known version.
func (l *List) read(since framework.ListVersion) framework.ListResponse {
	lag := l.Faults.Get().Lag
	l.mutex.Lock()
	defer l.mutex.Unlock()
	shown := l.frozen
	if !l.isFrozen {
		shown = l.asOf(lag)
	}
	for _, known := range l.history {
		if l.name(known) == since {
			return framework.DeltaListResponse(since, known.machines, l.name(shown), shown.machines)
		}
	}
	return framework.FullListResponse(l.name(shown), shown.machines)
}

// name returns a version's name, which is unique across runs.
func (l *List) name(v version) framework.ListVersion {
	return framework.ListVersion(fmt.Sprintf("%x-%d", l.run, v.number))
}

// asOf returns the version that was current lag ago. It never returns an older
// version than before.
func (l *List) asOf(lag control.Duration) version {
	visible := time.Now().Add(-time.Duration(lag))
	for l.visible+1 < len(l.history) && !l.history[l.visible+1].from.After(visible) {
		l.visible++
	}
	if dropped := l.visible - keptVersions; dropped > 0 {
		l.history = l.history[dropped:]
		l.visible -= dropped
	}
	return l.history[l.visible]
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	address, one := strings.CutPrefix(r.URL.Path, pathMachines+"/")
	switch {
	case r.URL.Path == control.PathFaults:
		l.Faults.ServeHTTP(w, r)
	case one && r.Method == http.MethodPut:
		l.servePut(w, r, address)
	case one && r.Method == http.MethodDelete:
		l.Remove(address)
		w.WriteHeader(http.StatusNoContent)
	case r.URL.Path != pathMachines:
		http.NotFound(w, r)
	case r.Method == http.MethodGet:
		l.Faults.Get().Serve(l.chance, w, r, func() func() {
			return func() { l.serveRead(w, r) }
		})
	case r.Method == http.MethodPut:
		var machines []structs.Machine
		if control.ReadJSON(w, r, &machines) {
			l.Set(machines)
			control.WriteJSON(w, machines)
		}
	default:
		http.Error(w, "use GET or PUT", http.StatusMethodNotAllowed)
	}
}

func (l *List) servePut(w http.ResponseWriter, r *http.Request, address string) {
	var machine structs.Machine
	if !control.ReadJSON(w, r, &machine) {
		return
	}
	machine.Address = address
	l.Put(machine)
	control.WriteJSON(w, machine)
}

// serveRead answers with the list alone unless the reader gives a version.
func (l *List) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has(parameterSince) {
		control.WriteJSON(w, l.read(framework.ListVersion(query.Get(parameterSince))))
		return
	}
	machines := l.published()
	if machines == nil {
		machines = []structs.Machine{}
	}
	control.WriteJSON(w, machines)
}
