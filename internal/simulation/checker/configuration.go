package checker

import (
	"cmp"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// configurationBound is how long a change that was accepted may take to be in
// force at a daemon that can hear of it.
const configurationBound = 10 * time.Second

// DaemonConfiguration is what an operator reads at one daemon.
type DaemonConfiguration struct {
	Address string
	// Run names the daemon's present run.
	Run      structs.DaemonID
	Revision structs.Revision
	// Digest identifies the content in force.
	Digest uint64
	// Reachable is set when news could reach the daemon: over some chain of
	// machines from the log, or from a daemon that has it.
	Reachable bool
}

// configurationWatch follows revisions over time.
type configurationWatch struct {
	// accepted is when each revision entered the log.
	accepted map[structs.Revision]time.Time
	latest   structs.Revision
	digests  map[structs.Revision]uint64
	daemons  map[string]*daemonWatch
	// Delays collects the time from the log to force, of each daemon.
	delays []time.Duration
}

type daemonWatch struct {
	run      structs.DaemonID
	revision structs.Revision
	// hearingSince is since when news could reach the run without a break.
	hearingSince time.Time
	hearing      bool
}

func newConfigurationWatch() *configurationWatch {
	return &configurationWatch{
		accepted: map[structs.Revision]time.Time{},
		digests:  map[structs.Revision]uint64{},
		daemons:  map[string]*daemonWatch{},
	}
}

// RecordRevision notes that a change became a revision when it entered the log.
func (c *Checker) RecordRevision(revision structs.Revision) {
	c.fleet.accepted[revision] = c.clock.Now()
	c.fleet.latest = max(c.fleet.latest, revision)
}

// RecordConfiguration notes what an operator reads at a daemon now. It must be called often.
func (c *Checker) RecordConfiguration(reading DaemonConfiguration) {
	watch := c.fleet.daemons[reading.Address]
	if watch == nil {
		watch = &daemonWatch{}
		c.fleet.daemons[reading.Address] = watch
	}
	now := c.clock.Now()
	if watch.run != reading.Run || !reading.Reachable {
		watch.run = reading.Run
		watch.hearing = false
	}
	if reading.Reachable && !watch.hearing {
		watch.hearing, watch.hearingSince = true, now
	}
	c.checkReverted(watch, reading)
	c.checkLate(watch, reading, now)
}

func (c *Checker) checkReverted(watch *daemonWatch, reading DaemonConfiguration) {
	if reading.Revision == 0 {
		return
	}
	if reading.Revision < watch.revision {
		c.Report(ConfigurationReverted, "%s went back from revision %d to %d", reading.Address, watch.revision, reading.Revision)
	}
	if digest, known := c.fleet.digests[reading.Revision]; known && digest != reading.Digest {
		c.Report(ConfigurationReverted, "%s has another revision %d than others", reading.Address, reading.Revision)
	}
	c.fleet.digests[reading.Revision] = reading.Digest
	for revision := watch.revision + 1; revision <= reading.Revision && watch.revision > 0; revision++ {
		if at, known := c.fleet.accepted[revision]; known {
			c.fleet.delays = append(c.fleet.delays, c.clock.Now().Sub(later(at, watch.hearingSince)))
		}
	}
	watch.revision = max(watch.revision, reading.Revision)
}

func (c *Checker) checkLate(watch *daemonWatch, reading DaemonConfiguration, now time.Time) {
	if !watch.hearing || reading.Revision >= c.fleet.latest {
		return
	}
	missing := reading.Revision + 1
	at, known := c.fleet.accepted[missing]
	if !known {
		return
	}
	if waited := now.Sub(later(at, watch.hearingSince)); waited > configurationBound {
		c.Report(ConfigurationLate, "%s lacks revision %d after it could have heard of it for over %s", reading.Run, missing, configurationBound)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ConfigurationDelays returns the times from the log to force, sorted.
func (c *Checker) ConfigurationDelays() []time.Duration {
	delays := slices.Clone(c.fleet.delays)
	slices.SortFunc(delays, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	return delays
}

// LatestRevision returns the latest revision that entered the log.
func (c *Checker) LatestRevision() structs.Revision { return c.fleet.latest }
