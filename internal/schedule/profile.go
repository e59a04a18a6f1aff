package schedule

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// Profile selects the plug-ins of a scheduler and sets its limits.
type Profile struct {
	// QueuePolicy is used where the configuration names none.
	QueuePolicy structs.QueuePolicyName
	Filters     []string
	Scorers     []string
	// PrefillBacklog bounds the prefill work, in expected time, that is sent to
	// an engine ahead of need; the rest stays in this daemon's queue and order.
	// Zero means no bound.
	PrefillBacklog time.Duration
	// BatchFraction is the fraction of an engine's batch that is filled; 0
	// counts as 1. A smaller batch answers each call sooner and keeps the
	// others in this daemon's queue and order.
	BatchFraction float64
	// WaitForBetterEngine lets a call wait for a busy engine that is expected
	// to finish it sooner than a free one.
	WaitForBetterEngine bool
	// StrictAffinity keeps a call that waits for an engine from going to
	// another one. The baseline policies of the experiments need it for their
	// affinity.
	StrictAffinity bool
	// ReserveGrowth reserves part of each engine's memory for programs in
	// progress; see newProgramMemoryFraction.
	ReserveGrowth bool
	// LookAhead is how many of the first calls are compared when an engine has
	// room.
	LookAhead int
	// FairShares enables fair sharing between tenants.
	FairShares bool
	// ShareTolerance is the engine time by which a tenant may exceed its share
	// before its calls are delayed.
	ShareTolerance time.Duration
	// ManageHolds decides on holds by expected return. Without it, every call
	// asks for the hold that its template allows, or none; see HoldAlways.
	ManageHolds bool
	// Transfers allows a program's cache to be transferred to another engine.
	Transfers bool
	// HoldAlways asks for a hold after each call when ManageHolds is off.
	HoldAlways bool
}

// DefaultProfile returns the profile that daemons use.
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

// Configurations provides the configuration in force, nil before the first.
type Configurations interface {
	Current() *structs.Configuration
}

// plugins are the plug-in instances of a profile.
type plugins struct {
	policies map[structs.QueuePolicyName]QueuePolicy
	filters  []Filter
	scorers  []NamedScorer
}

// newPlugins instantiates a profile's plug-ins. Names that are not registered
// are skipped: without plug-ins, calls are served in order of arrival by the
// first engine with room.
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

// due returns the due time by the queue policy of the item's tenant.
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

// share returns a tenant's configured share, at least 1.
func (s *Scheduler) share(tenant structs.TenantName) float64 {
	if configuration := s.configuration(); configuration != nil {
		return float64(max(configuration.Tenants[tenant].Share, 1))
	}
	return 1
}
