package space

import (
	"sync"
	"time"
)

// reportLife is how long a report counts: it is as old as that at most when it is dropped, and
// what was kept since is told by its rate. A daemon hears of most shards within that time.
const reportLife = 10 * time.Second

// Estimate is what the whole fleet keeps, by the reports of some of its parts. It is safe for
// concurrent use.
type Estimate struct {
	parts   int
	mutex   sync.Mutex
	reports map[int]report
}

// report is what one part said it keeps.
type report struct {
	profile Profile
	at      time.Time
}

// NewEstimate returns the estimate of a fleet of so many parts, among which programs are
// spread evenly.
func NewEstimate(parts int) *Estimate {
	return &Estimate{parts: parts, reports: map[int]report{}}
}

// Note takes a part's report, if it is valid.
func (e *Estimate) Note(part int, profile Profile, at time.Time) {
	if !profile.IsValid() {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if known, isKnown := e.reports[part]; !isKnown || known.at.Before(at) {
		e.reports[part] = report{profile: profile, at: at}
	}
}

// Sum returns what the whole fleet keeps; false if no part was heard of lately.
func (e *Estimate) Sum(now time.Time) (Profile, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var sum Profile
	heard := 0
	for part, known := range e.reports {
		age := now.Sub(known.at)
		if age > reportLife {
			delete(e.reports, part)
			continue
		}
		heard++
		sum.include(known.profile.after(max(age, 0)))
	}
	if heard == 0 {
		return Profile{}, false
	}
	return sum.times(float64(e.parts) / float64(heard)), true
}
