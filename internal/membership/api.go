// Package membership keeps every daemon's view of the others: who is alive,
// suspected, dead or leaving. It joins the platform's lagging machine list
// with probes between daemons; the update of the latest run, with the
// highest refutation number, wins.
package membership

import (
	"github.com/mintpulley/mintpulley/internal/structs"
)

// State is what a daemon believes of another.
type State string

// States of a member.
const (
	// StateAlive: it answered lately.
	StateAlive State = "alive"
	// StateSuspect: it has not answered; it may refute that.
	StateSuspect State = "suspect"
	// StateDead: it did not refute the suspicion in time, or runs no more.
	StateDead State = "dead"
	// StateLeaving: it said that it is stopping; it gets no new work.
	StateLeaving State = "leaving"
)

// Member is one daemon in a view.
type Member struct {
	Daemon structs.Daemon `json:"daemon"`
	State  State          `json:"state"`
}

// Note is what a daemon adds about itself to its probes.
type Note struct {
	// ConfigurationOffset and ConfigurationDigest tell how far it has folded
	// the configuration log, and to what.
	ConfigurationOffset structs.LogOffset `json:"co"`
	ConfigurationDigest uint64            `json:"cd"`
}

// View is what other parts see of membership. It is safe for concurrent use.
type View interface {
	// Members returns all members that are not dead, ordered by identifier,
	// this daemon included.
	Members() []Member
	// State returns what is believed of a daemon; a run that was never heard
	// of is dead.
	State(daemon structs.DaemonID) State
	// Subscribe calls listener after each change, in order, outside any lock.
	Subscribe(listener func(Member))
}
