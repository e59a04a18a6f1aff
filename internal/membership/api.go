// Package membership keeps every daemon's view of the others: which are alive,
// suspected, dead or leaving. It combines the platform's machine list, which
// lags behind, with SWIM-style probes between daemons; the update of the latest
// run with the highest refutation number wins.
package membership

import (
	"github.com/mintpulley/mintpulley/internal/structs"
)

// State is a daemon's belief about another.
type State string

// States of a member.
const (
	// StateAlive: it answered recently.
	StateAlive State = "alive"
	// StateSuspect: it has not answered; it may refute that.
	StateSuspect State = "suspect"
	// StateDead: it did not refute the suspicion in time, or has ended.
	StateDead State = "dead"
	// StateLeaving: it announced that it is stopping; it gets no new work.
	StateLeaving State = "leaving"
)

// Member is one daemon in a view.
type Member struct {
	Daemon structs.Daemon `json:"daemon"`
	State  State          `json:"state"`
}

// Note is what a daemon adds about itself to its probes.
type Note struct {
	// ConfigurationOffset and ConfigurationDigest give the offset up to which
	// it has applied the configuration log, and the digest of the result.
	ConfigurationOffset structs.LogOffset `json:"co"`
	ConfigurationDigest uint64            `json:"cd"`
}

// View is the interface of membership for other packages. It is safe for
// concurrent use.
type View interface {
	// Members returns all members that are not dead, ordered by identifier,
	// this daemon included. Callers share the list and must not change it.
	Members() []Member
	// State returns the believed state of a daemon; an unknown run is dead.
	State(daemon structs.DaemonID) State
	// Subscribe calls listener after each change, in order, outside any lock.
	Subscribe(listener func(Member))
}
