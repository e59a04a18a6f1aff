package ledger

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/zone"
)

// Evacuations is a daemon's knowledge of the zones that operators evacuated. A daemon that
// cannot reach the store learns of evacuations from the holders that it asks.
// Implementations must be safe for concurrent use.
type Evacuations interface {
	// KnownEvacuationsEnd returns the end of the orders that this daemon knows, 0 if it
	// knows none.
	KnownEvacuationsEnd() (end int64)
	// EvacuationUpdateAfter returns this daemon's knowledge if it ends after known, or nil.
	EvacuationUpdateAfter(known int64, now time.Time) *zone.EvacuationUpdate
	// ApplyEvacuationUpdate applies another daemon's knowledge.
	ApplyEvacuationUpdate(update *zone.EvacuationUpdate, now time.Time)
}

func (s *Service) knownEvacuationsEnd() int64 {
	if s.Evacuations == nil {
		return 0
	}
	return s.Evacuations.KnownEvacuationsEnd()
}

func (s *Service) evacuationUpdateAfter(known int64) *zone.EvacuationUpdate {
	if s.Evacuations == nil {
		return nil
	}
	return s.Evacuations.EvacuationUpdateAfter(known, time.Now())
}

func (s *Service) applyEvacuationUpdate(update *zone.EvacuationUpdate) {
	if s.Evacuations != nil && update != nil {
		s.Evacuations.ApplyEvacuationUpdate(update, time.Now())
	}
}
