package experiment

import (
	"slices"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/schedule"
)

// Names of the policies that are compared.
const (
	RoundRobin      = "round-robin"
	LeastLoaded     = "least-loaded"
	SessionAffinity = "session-affinity"
	PrefixAffinity  = "prefix-affinity"
	Mintpulley      = "mintpulley"
	LowerBound      = "lower-bound"
	// SteadyBound runs on request only: a lower bound of the mean latency at a
	// steady load.
	SteadyBound = "steady-bound"
)

// ErrUnknownPolicy is returned for an unknown policy name.
var ErrUnknownPolicy = eris.New("experiment: unknown policy")

// Policies returns the policies compared by default, in the order of the
// tables.
func Policies() []string {
	return []string{RoundRobin, LeastLoaded, SessionAffinity, PrefixAffinity, Mintpulley, LowerBound}
}

// CheckPolicies returns ErrUnknownPolicy for the first unknown name.
func CheckPolicies(names []string) error {
	for _, name := range names {
		if known := append(Policies(), SteadyBound); !slices.Contains(known, name) {
			return eris.Wrapf(ErrUnknownPolicy, "%q (known: %v)", name, known)
		}
	}
	return nil
}

// profileOf returns the scheduler's profile for a policy. The baselines serve
// first come, first served through the same scheduler: a call waits until its
// chosen engine has a slot in its batch and memory for it.
func profileOf(policy string) schedule.Profile {
	if policy == Mintpulley {
		return schedule.DefaultProfile()
	}
	return schedule.Profile{
		QueuePolicy:    "fcfs",
		Filters:        []string{"serving"},
		Scorers:        []string{policy},
		LookAhead:      1,
		StrictAffinity: true,
	}
}
