package ledger

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/zone"
)

// Evacuations are a daemon's news of which zones the operators evacuated. A daemon
// whom the store turns away hears of them from the holders that it asks. They are safe
// for concurrent use.
type Evacuations interface {
	// AskEvacuations returns how new this daemon's news is, 0 if it knows none.
	AskEvacuations() (end int64)
	// TellEvacuations returns this daemon's news if it is newer than the asker's, or
	// nil.
	TellEvacuations(asked int64, now time.Time) *zone.EvacuationUpdate
	// HearEvacuations takes another daemon's news.
	HearEvacuations(news *zone.EvacuationUpdate, now time.Time)
}

func (s *Service) evacuationsEnd() int64 {
	if s.Evacuations == nil {
		return 0
	}
	return s.Evacuations.AskEvacuations()
}

func (s *Service) tellEvacuations(asked int64) *zone.EvacuationUpdate {
	if s.Evacuations == nil {
		return nil
	}
	return s.Evacuations.TellEvacuations(asked, time.Now())
}

func (s *Service) hearEvacuations(news *zone.EvacuationUpdate) {
	if s.Evacuations != nil && news != nil {
		s.Evacuations.HearEvacuations(news, time.Now())
	}
}
