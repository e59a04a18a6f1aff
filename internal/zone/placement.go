package zone

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/instance"
)

// ReasonEvacuated is the reason of EvacuationFilter.
const ReasonEvacuated = "evacuated"

const (
	// returnRampTime is the time over which requests return to the back ends of a zone
	// after its evacuation ended. It must exceed several turns, so that the first requests
	// show whether the back ends are slow or refuse them before all daemons send there.
	returnRampTime = 2 * time.Second
	// returnCost is the cost of a back end to which this daemon does not send yet, as a
	// fraction of its slots: it is chosen once all slots elsewhere are in use.
	returnCost = 1.0
)

// EvacuationFilter rejects the back ends of evacuated zones.
type EvacuationFilter struct{ Evacuations *Evacuations }

// Reason implements instance.Filter.
func (EvacuationFilter) Reason() string { return ReasonEvacuated }

// Admits implements instance.Filter.
func (f EvacuationFilter) Admits(_ *instance.Query, candidate *instance.Instance, _ time.Time) bool {
	_, evacuated := f.Evacuations.load().evacuated[candidate.Zone]
	return !evacuated
}

// ReturnScorer ramps up the load of a zone's back ends over returnRampTime after its
// evacuation ended. They are idle then, and by load alone every daemon would choose them at
// once. Each daemon starts to send to them one after the other, in an order of its own, so
// the number of daemons that send to a back end, and with it the load, rises evenly.
type ReturnScorer struct {
	Evacuations *Evacuations
	// Seed must differ between daemons.
	Seed uint64
}

// Cost implements instance.Scorer.
func (s ReturnScorer) Cost(_ *instance.Query, candidate *instance.Instance, now time.Time) float64 {
	returned := s.Evacuations.load().returned
	if len(returned) == 0 {
		return 0
	}
	at, known := returned[candidate.Zone]
	if !known || now.Sub(at) >= s.openDelay(candidate.ID) {
		return 0
	}
	return returnCost
}

// openDelay returns how long after the zone's return this daemon starts to send to a back
// end.
func (s ReturnScorer) openDelay(id string) time.Duration {
	const parts = 1 << 16
	mixed := (xxhash.Sum64String(id) ^ s.Seed) * 0x9e3779b97f4a7c15 // golden-ratio multiplier: spreads inputs that differ in few bits
	return returnRampTime * time.Duration(mixed>>48) / parts
}
