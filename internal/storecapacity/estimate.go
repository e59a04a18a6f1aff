package storecapacity

import (
	"sync"
	"time"
)

const (
	// reportLife is how long a report counts: what was kept since is only known by the rate of
	// then, which is wrong for as long after the load has changed.
	reportLife = 4 * time.Second
	// passOnAge is how old a report may be that is passed on, and passOn how many are at a time.
	// At the usual load of the busiest deployment measured, a daemon hears of 9 of 48 parts a
	// second so, and of two without.
	passOnAge = 2 * time.Second
	passOn    = 4
)

// Report is what one part of the fleet keeps. It travels between daemons.
type Report struct {
	Shard int `json:"part"`
	// AgeMS is how many milliseconds ago the part kept that.
	AgeMS   int64   `json:"age_ms,omitempty"`
	Profile Profile `json:"profile"`
}

// Estimate is what the whole fleet keeps, by the reports of some of its parts. It is safe for
// concurrent use.
type Estimate struct {
	parts   int
	mutex   sync.Mutex
	reports map[int]timedProfile
}

// timedProfile is what one part kept at a time.
type timedProfile struct {
	profile Profile
	at      time.Time
}

// NewEstimate returns the estimate of a fleet of so many parts, among which programs are
// spread evenly.
func NewEstimate(parts int) *Estimate {
	return &Estimate{parts: parts, reports: map[int]timedProfile{}}
}

// Merge takes the valid ones of reports that came from another daemon.
func (e *Estimate) Merge(reports []Report, now time.Time) {
	for _, report := range reports {
		if report.AgeMS >= 0 && report.Shard >= 0 && report.Shard < e.parts {
			e.Note(report.Shard, report.Profile, now.Add(-time.Duration(report.AgeMS)*time.Millisecond))
		}
	}
}

// Note takes a part's report, if it is valid.
func (e *Estimate) Note(part int, profile Profile, at time.Time) {
	if !profile.IsValid() {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if known, isKnown := e.reports[part]; !isKnown || known.at.Before(at) {
		e.reports[part] = timedProfile{profile: profile, at: at}
	}
}

// Reports returns the report of a part, and with others those of some that were heard of lately, each
// time of different ones.
func (e *Estimate) Reports(part int, others bool, now time.Time) []Report {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var told []Report
	if known, isKnown := e.reports[part]; isKnown {
		told = append(told, known.reportOf(part, now))
	}
	for other, known := range e.reports { // in an order that differs each time
		if others && len(told) <= passOn && other != part && now.Sub(known.at) <= passOnAge {
			told = append(told, known.reportOf(other, now))
		}
	}
	return told
}

func (t timedProfile) reportOf(part int, now time.Time) Report {
	return Report{Shard: part, AgeMS: max(now.Sub(t.at), 0).Milliseconds(), Profile: t.profile}
}

// Sum returns what the whole fleet keeps; false if no part was heard of lately.
func (e *Estimate) Sum(now time.Time) (Profile, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var sum Profile
	heard, programs := 0, 0
	for part, known := range e.reports {
		age := now.Sub(known.at)
		if age > reportLife {
			delete(e.reports, part)
			continue
		}
		heard++
		if known.profile.ProgramBytes > 0 {
			programs++
		}
		sum.include(known.profile.after(max(age, 0)))
	}
	if heard == 0 {
		return Profile{}, false
	}
	sum.ProgramBytes /= int64(max(programs, 1))
	return sum.times(float64(e.parts) / float64(heard)), true
}
