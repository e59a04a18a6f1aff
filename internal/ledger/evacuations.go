package ledger

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/zone"
)

// Evacuations are a daemon's news of which zones the operators evacuated. A daemon
// whom the store turns away hears of them from the holders that it asks. They are safe
// for concurrent use.
type Evacuations interface {
	// KnownEvacuationsEnd returns how new this daemon's news is, 0 if it knows none.
	KnownEvacuationsEnd() (end int64)
	// EvacuationUpdateAfter returns this daemon's news if it is newer than the asker's, or
	// nil.
	EvacuationUpdateAfter(asked int64, now time.Time) *zone.EvacuationUpdate
	// ApplyEvacuationUpdate takes another daemon's news.
	ApplyEvacuationUpdate(news *zone.EvacuationUpdate, now time.Time)
}

func (s *Service) evacuationsEnd() int64 {
	if s.Evacuations == nil {
		return 0
	}
	return s.Evacuations.KnownEvacuationsEnd()
}

func (s *Service) tellEvacuations(asked int64) *zone.EvacuationUpdate {
	if s.Evacuations == nil {
		return nil
	}
	return s.Evacuations.EvacuationUpdateAfter(asked, time.Now())
}

func (s *Service) hearEvacuations(news *zone.EvacuationUpdate) {
	if s.Evacuations != nil && news != nil {
		s.Evacuations.ApplyEvacuationUpdate(news, time.Now())
	}
}
