package checker

import (
	"cmp"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// maxPropagationDelay limits the time from the acceptance of a change until it
// is in force at every reachable daemon.
const maxPropagationDelay = 10 * time.Second

// DaemonConfiguration is the state of the configuration as an operator reads it
// from one daemon.
type DaemonConfiguration struct {
	Address string
	// Run identifies the current run of the daemon.
	Run      structs.DaemonID
	Revision structs.Revision
	// Digest is a hash of the content in force.
	Digest uint64
	// Reachable is set when the configuration can reach the daemon over a chain
	// of machines, from the log or from a daemon that has the latest revision.
	Reachable bool
}

// propagation tracks how revisions spread through the fleet.
type propagation struct {
	// acceptedAt is the time at which each revision entered the log.
	acceptedAt map[structs.Revision]time.Time
	latest     structs.Revision
	digests    map[structs.Revision]uint64
	daemons    map[string]*daemonPropagation
	// delays collects, for each daemon and revision, the time from the log
	// entry until the revision is in force.
	delays []time.Duration
}

type daemonPropagation struct {
	run      structs.DaemonID
	revision structs.Revision
	// reachableSince is the time since which the run has been reachable without
	// interruption.
	reachableSince time.Time
	reachable      bool
}

func newPropagation() *propagation {
	return &propagation{
		acceptedAt: map[structs.Revision]time.Time{},
		digests:    map[structs.Revision]uint64{},
		daemons:    map[string]*daemonPropagation{},
	}
}

// RecordRevision records that a change has entered the log as the given
// revision.
func (c *Checker) RecordRevision(revision structs.Revision) {
	c.configurations.acceptedAt[revision] = c.clock.Now()
	c.configurations.latest = max(c.configurations.latest, revision)
}

// RecordConfiguration checks the configuration that an operator reads from a
// daemon. It must be called often, since delays are measured between calls.
func (c *Checker) RecordConfiguration(read DaemonConfiguration) {
	daemon := c.configurations.daemons[read.Address]
	if daemon == nil {
		daemon = &daemonPropagation{}
		c.configurations.daemons[read.Address] = daemon
	}
	now := c.clock.Now()
	if daemon.run != read.Run || !read.Reachable {
		daemon.run = read.Run
		daemon.reachable = false
	}
	if read.Reachable && !daemon.reachable {
		daemon.reachable, daemon.reachableSince = true, now
	}
	c.checkRevision(daemon, read)
	c.checkPropagation(daemon, read, now)
}

func (c *Checker) checkRevision(daemon *daemonPropagation, read DaemonConfiguration) {
	if read.Revision == 0 {
		return
	}
	if read.Revision < daemon.revision {
		c.Report(ConfigurationReverted, "%s went back from revision %d to %d", read.Address, daemon.revision, read.Revision)
	}
	if digest, known := c.configurations.digests[read.Revision]; known && digest != read.Digest {
		c.Report(ConfigurationReverted, "%s has other content in revision %d than other daemons", read.Address, read.Revision)
	}
	c.configurations.digests[read.Revision] = read.Digest
	for revision := daemon.revision + 1; revision <= read.Revision && daemon.revision > 0; revision++ {
		if at, known := c.configurations.acceptedAt[revision]; known {
			c.configurations.delays = append(c.configurations.delays, c.clock.Now().Sub(later(at, daemon.reachableSince)))
		}
	}
	daemon.revision = max(daemon.revision, read.Revision)
}

func (c *Checker) checkPropagation(daemon *daemonPropagation, read DaemonConfiguration, now time.Time) {
	if !daemon.reachable || read.Revision >= c.configurations.latest {
		return
	}
	missing := read.Revision + 1
	at, known := c.configurations.acceptedAt[missing]
	if !known {
		return
	}
	if waited := now.Sub(later(at, daemon.reachableSince)); waited > maxPropagationDelay {
		c.Report(ConfigurationLate, "%s lacks revision %d although it was reachable for over %s", read.Run, missing, maxPropagationDelay)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ConfigurationDelays returns the times from log entry to being in force,
// sorted.
func (c *Checker) ConfigurationDelays() []time.Duration {
	delays := slices.Clone(c.configurations.delays)
	slices.SortFunc(delays, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	return delays
}

// LatestRevision returns the latest revision that entered the log.
func (c *Checker) LatestRevision() structs.Revision { return c.configurations.latest }
