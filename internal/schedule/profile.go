package schedule

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// Profile names the plug-ins of a scheduler and sets its bounds.
type Profile struct {
	// QueuePolicy is used where operators choose none.
	QueuePolicy structs.QueuePolicyName
	Filters     []string
	Scorers     []string
	// PrefillBacklog bounds the prompt work, in expected time, that is sent
	// to an engine ahead of need; more stays here, in this queue's order.
	// Zero sets no bound.
	PrefillBacklog time.Duration
	// BatchFraction is the part of an engine's batch that is filled, from
	// above 0 to 1; 0 counts as 1. A smaller batch answers each call sooner
	// and leaves the others here, in this queue's order.
	BatchFraction float64
	// WaitForBetterEngine lets a call wait for a busy engine that is expected to
	// finish it sooner than a free one.
	WaitForBetterEngine bool
	// StrictAffinity lets a call that waits for an engine go to no other one; the
	// baselines of the experiments would else lose their affinity.
	StrictAffinity bool
	// ReserveGrowth leaves a part of each engine's memory to programs under
	// way: new ones are taken in only below it.
	ReserveGrowth bool
	// LookAhead is how many of the first calls are compared when an engine
	// has room.
	LookAhead int
	// FairShares weighs tenants against each other.
	FairShares bool
	// ShareTolerance is the engine time, over its share, that a tenant may
	// run ahead before its calls are put back.
	ShareTolerance time.Duration
	// ManageHolds pins caches by expected return; without it every call asks
	// for the hold its template allows, or none.
	ManageHolds bool
	// Transfers lets a program's cache follow it to another engine.
	Transfers bool
	// HoldAlways asks for a hold after each call when ManageHolds is off.
	HoldAlways bool
}

// DefaultProfile is what a daemon uses.
func DefaultProfile() Profile {
	return Profile{
		QueuePolicy:         "program",
		Filters:             []string{"serving"},
		Scorers:             []string{"prefix", "transfer", "queue", "zone", "group"},
		PrefillBacklog:      500 * time.Millisecond,
		WaitForBetterEngine: true,
		ReserveGrowth:       true,
		LookAhead:           8,
		FairShares:          true,
		ShareTolerance:      5 * time.Second,
		ManageHolds:         true,
		Transfers:           true,
	}
}

// Configurations gives the configuration in force, nil before the first.
type Configurations interface {
	Current() *structs.Configuration
}

// plugins are a profile's instances.
type plugins struct {
	policies map[structs.QueuePolicyName]QueuePolicy
	filters  []Filter
	scorers  []NamedScorer
}

// newPlugins looks a profile's names up. Names that are not registered are
// left out: a process that imports no plug-in schedules first come first
// served to the least assigned engine.
func newPlugins(profile Profile) plugins {
	p := plugins{policies: map[structs.QueuePolicyName]QueuePolicy{}}
	for _, name := range QueuePolicies.Names() {
		if factory, err := QueuePolicies.Lookup(name); err == nil {
			p.policies[structs.QueuePolicyName(name)] = factory()
		}
	}
	for _, name := range profile.Filters {
		if factory, err := Filters.Lookup(name); err == nil {
			p.filters = append(p.filters, factory())
		}
	}
	for _, name := range profile.Scorers {
		if factory, err := Scorers.Lookup(name); err == nil {
			p.scorers = append(p.scorers, NamedScorer{Name: name, Scorer: factory()})
		}
	}
	return p
}

// due asks the policy of the item's tenant.
func (s *Scheduler) due(item *Item, outlook Outlook, arrival float64) float64 {
	name := s.profile.QueuePolicy
	if configuration := s.configuration(); configuration != nil {
		if configuration.Fleet.QueuePolicy != "" {
			name = configuration.Fleet.QueuePolicy
		}
		if own := configuration.Tenants[item.Key.Tenant].QueuePolicy; own != "" {
			name = own
		}
	}
	policy := s.plugins.policies[name]
	if policy == nil {
		return arrival
	}
	return policy.Due(item, outlook, arrival)
}

func (s *Scheduler) configuration() *structs.Configuration {
	if s.configurations == nil {
		return nil
	}
	return s.configurations.Current()
}

func (s *Scheduler) configuredCacheWeight() float64 {
	if configuration := s.configuration(); configuration != nil {
		return configuration.Fleet.CacheWeight
	}
	return 0
}

// share returns a tenant's weight, at least 1.
func (s *Scheduler) share(tenant structs.TenantName) float64 {
	if configuration := s.configuration(); configuration != nil {
		return float64(max(configuration.Tenants[tenant].Share, 1))
	}
	return 1
}
