// Package instance keeps a daemon's view of the running instances of the back ends: which
// there are, how loaded they are, and which one the next request goes to.
package instance

import (
	"strconv"
	"strings"
	"time"
)

// State is the state that an instance last reported.
type State string

const (
	// StateReady instances accept requests.
	StateReady State = "ready"
	// StateDraining instances finish the requests they have and get no new ones.
	StateDraining State = "leaving"
)

// Instance is one run of a back end, from its start to its exit.
type Instance struct {
	// ID identifies the run; a restarted back end gets another ID. All state about an
	// instance is keyed by it, so that none is carried over to a later run; see RunID.
	ID      string
	Service string
	// Address is "IP:PORT"; another instance may get it later.
	Address string
	Zone    string
	// Version is the version of the back end's software; "" if its entry does not tell.
	Version string
	// Slots is how many requests the instance processes concurrently.
	Slots int
	State State
	// Sequence increases with every change of the instance's entry.
	Sequence int64
	// ColdFor is for how much longer the instance reported that it stays cold, which means
	// slow or able to take few requests. HasColdFor is set if the entry reports it.
	ColdFor    time.Duration
	HasColdFor bool
	// ReceivedAt is when this daemon first read the current entry, some time after the
	// instance wrote it. FirstSeenAt is when the instance was first listed; zero if it was
	// in the first list that the daemon read.
	ReceivedAt  time.Time
	FirstSeenAt time.Time
	// SendBy is the time by which the request must have begun to be sent to the chosen
	// instance; zero means no limit. Only Pool.Take sets it.
	SendBy time.Time
}

// RunSeparator separates a back end's name from its incarnation in an ID. No name may
// contain it.
const RunSeparator = "#"

// RunID returns the ID of a run of a back end. The name may stay the same over a restart;
// the incarnation tells the runs apart and increases with each. It is 0 if the back end
// does not report one.
func RunID(name string, incarnation int64) string {
	if incarnation == 0 {
		return name
	}
	return name + RunSeparator + strconv.FormatInt(incarnation, 10)
}

// Name returns the back end's name.
func (i *Instance) Name() string {
	name, _, _ := strings.Cut(i.ID, RunSeparator)
	return name
}

// Incarnation returns the run's incarnation; 0 if the ID has none.
func (i *Instance) Incarnation() int64 {
	_, text, found := strings.Cut(i.ID, RunSeparator)
	if !found {
		return 0
	}
	incarnation, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0 // the ID was not built by RunID
	}
	return incarnation
}

// ColdUntil returns the time until which the instance stays cold according to its entry.
func (i *Instance) ColdUntil() time.Time { return i.ReceivedAt.Add(i.ColdFor) }
