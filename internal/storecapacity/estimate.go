package storecapacity

import (
	"sync"
	"time"
)

const (
	// reportTTL is how long a report counts. What was written since is extrapolated from
	// the reported rate, which stays wrong for that long after the load has changed.
	reportTTL = 4 * time.Second
	// maxPassOnAge is how old a report that is passed on may be, and maxPassedOn how many
	// are passed on at a time. They let a daemon learn of more shards than those it sends
	// requests to.
	maxPassOnAge = 2 * time.Second
	maxPassedOn  = 4
)

// Report is the usage of one shard. It is sent between daemons.
type Report struct {
	Shard int `json:"part"`
	// AgeMS is how many milliseconds ago the profile was taken.
	AgeMS   int64   `json:"age_ms,omitempty"`
	Profile Profile `json:"profile"`
}

// Estimate estimates the usage of the whole fleet from the reports of some shards. It is
// safe for concurrent use.
type Estimate struct {
	shards  int
	mutex   sync.Mutex
	reports map[int]timedProfile
}

// timedProfile is the profile of one shard at a time.
type timedProfile struct {
	profile Profile
	at      time.Time
}

// NewEstimate returns the estimate of a fleet with a number of shards, among which programs
// are spread evenly.
func NewEstimate(shards int) *Estimate {
	return &Estimate{shards: shards, reports: map[int]timedProfile{}}
}

// Merge records the valid reports among those of another daemon.
func (e *Estimate) Merge(reports []Report, now time.Time) {
	for _, report := range reports {
		if report.AgeMS >= 0 && report.Shard >= 0 && report.Shard < e.shards {
			e.Note(report.Shard, report.Profile, now.Add(-time.Duration(report.AgeMS)*time.Millisecond))
		}
	}
}

// Note records the report of a shard, if it is valid and newer than the known one.
func (e *Estimate) Note(shard int, profile Profile, at time.Time) {
	if !profile.IsValid() {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if known, isKnown := e.reports[shard]; !isKnown || known.at.Before(at) {
		e.reports[shard] = timedProfile{profile: profile, at: at}
	}
}

// Reports returns the report of a shard and, if others is set, those of some other recently
// reported shards, which differ each time.
func (e *Estimate) Reports(shard int, others bool, now time.Time) []Report {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var list []Report
	if known, isKnown := e.reports[shard]; isKnown {
		list = append(list, known.reportOf(shard, now))
	}
	for other, known := range e.reports { // in random order
		if others && len(list) <= maxPassedOn && other != shard && now.Sub(known.at) <= maxPassOnAge {
			list = append(list, known.reportOf(other, now))
		}
	}
	return list
}

func (t timedProfile) reportOf(shard int, now time.Time) Report {
	return Report{Shard: shard, AgeMS: max(now.Sub(t.at), 0).Milliseconds(), Profile: t.profile}
}

// Sum returns the estimated usage of the whole fleet; false if no shard was reported
// recently.
func (e *Estimate) Sum(now time.Time) (Profile, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var sum Profile
	reported, programs := 0, 0
	for shard, known := range e.reports {
		age := now.Sub(known.at)
		if age > reportTTL {
			delete(e.reports, shard)
			continue
		}
		reported++
		if known.profile.ProgramBytes > 0 {
			programs++
		}
		sum.include(known.profile.after(max(age, 0)))
	}
	if reported == 0 {
		return Profile{}, false
	}
	sum.ProgramBytes /= int64(max(programs, 1))
	return sum.scaledBy(float64(e.shards) / float64(reported)), true
}
