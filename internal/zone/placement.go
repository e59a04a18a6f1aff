package zone

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/instance"
)

// ReasonEvacuated is why back ends of an evacuated zone get nothing.
const ReasonEvacuated = "evacuated"

const (
	// returnTime is within how long requests return to the back ends of a zone that was
	// taken back. It is several times what a turn takes: if back ends are slow or refuse,
	// the first requests show it before all daemons send there.
	returnTime = 2 * time.Second
	// returnCost counts against a back end that this daemon has not opened yet, as a share
	// of its slots: it is chosen when all slots elsewhere are taken.
	returnCost = 1.0
)

// EvacuationFilter keeps requests from the back ends of evacuated zones.
type EvacuationFilter struct{ Evacuations *Evacuations }

// Reason implements instance.Filter.
func (EvacuationFilter) Reason() string { return ReasonEvacuated }

// Admits implements instance.Filter.
func (f EvacuationFilter) Admits(_ *instance.Query, candidate *instance.Instance, _ time.Time) bool {
	_, evacuated := f.Evacuations.load().evacuated[candidate.Zone]
	return !evacuated
}

// ReturnScorer lets the back ends of a zone that was taken back fill up within
// returnTime. They are empty: by load alone every daemon would send them all requests. Each daemon opens them one after the other, in an order of its own: the
// share of daemons that send to a back end, and with it its load, rises evenly.
type ReturnScorer struct {
	Evacuations *Evacuations
	// Seed differs between daemons.
	Seed uint64
}

// Cost implements instance.Scorer.
func (s ReturnScorer) Cost(_ *instance.Query, candidate *instance.Instance, now time.Time) float64 {
	returned := s.Evacuations.load().returned
	if len(returned) == 0 {
		return 0
	}
	at, known := returned[candidate.Zone]
	if !known || now.Sub(at) >= s.opensAfter(candidate.ID) {
		return 0
	}
	return returnCost
}

// opensAfter is how long after the zone's return this daemon sends to a back end.
func (s ReturnScorer) opensAfter(id string) time.Duration {
	const parts = 1 << 16
	mixed := (xxhash.Sum64String(id) ^ s.Seed) * 0x9e3779b97f4a7c15 // the golden ratio: spreads what differs in few bits
	return returnTime * time.Duration(mixed>>48) / parts
}
