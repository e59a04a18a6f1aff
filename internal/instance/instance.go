// Package instance keeps what a daemon believes of the back ends' running
// instances: which there are, how full they are, and which one the next
// request should go to.
package instance

import (
	"strconv"
	"strings"
	"time"
)

// State is what an instance last said of itself.
type State string

// States of an instance.
const (
	// StateReady instances take requests.
	StateReady State = "ready"
	// StateLeaving instances finish what they have and get no new request.
	StateDraining State = "leaving"
)

// Instance is one run of one back end.
type Instance struct {
	// ID names the run; a restart has another. Whatever is remembered of an instance is
	// remembered under it, so that nothing of it is believed of a later run; see RunID.
	ID      string
	Service string
	// Address is "IP:PORT"; it may pass to another instance later.
	Address string
	Zone    string
	// Slots is how many requests it works on at once.
	Slots int
	State State
	// Sequence rises with every change of what it says of itself.
	Sequence int64
	// ColdFor is how much longer it said that it stays cold, if ReportsCold: slow, or
	// able to take few requests.
	ColdFor    time.Duration
	HasColdFor bool
	// HeardAt is when what it says of itself was first heard, which is some time after
	// it was said. NewAt is when it was first heard of at all, zero if it was there
	// before this daemon.
	ReceivedAt  time.Time
	FirstSeenAt time.Time
	// SendBy is until when the request may be sent that it was chosen for; zero sets
	// no bound. It is set in what Pool.Take returns alone.
	SendBy time.Time
}

// RunSeparator stands between a back end's name and its incarnation in an ID. No name may hold
// it.
const RunSeparator = "#"

// RunID returns the ID of a run of a back end: of the name that it gives itself, which may stay
// the same over a restart, and of the incarnation that tells its runs apart, which is higher for
// a later run; 0 if it does not tell.
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

// incarnation returns the run's incarnation.
func (i *Instance) incarnation() int64 {
	_, text, told := strings.Cut(i.ID, RunSeparator)
	if !told {
		return 0
	}
	incarnation, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0 // no RunID
	}
	return incarnation
}

// ColdUntil is until when it stays cold at most by what it said.
func (i *Instance) ColdUntil() time.Time { return i.ReceivedAt.Add(i.ColdFor) }
