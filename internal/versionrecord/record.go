// Package versionrecord keeps in the store which software versions of each service's back ends may have
// begun a stream that is still resumed. A daemon that has just started knows only the versions of the back
// ends that it finds: those that left while all daemons were down are in the record.
package versionrecord

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// readTimeout and writeTimeout are the timeouts of one call, and retryPause the mean pause before the
	// next attempt.
	readTimeout  = time.Second
	writeTimeout = 2 * time.Second
	retryPause   = 300 * time.Millisecond
	// checkInterval is the interval at which a writer compares the record with the list of back ends.
	checkInterval = 250 * time.Millisecond
	// maxServices bounds the services in the record, and maxVersions the versions of one: other writers may
	// name any.
	maxServices = 256
	maxVersions = 16
)

// Partition is the partition of the record; its keys are services.
func Partition() store.Partition { return store.Partition{Space: "software-versions"} }

// record is the value of a service's key.
type record struct {
	Versions []string `json:"versions"`
}

// Options are the dependencies of a Keeper.
type Options struct {
	Store store.Store
	// Listed returns the software versions of each service's back ends, sorted.
	Listed func() map[string][]string
	// IsWriter reports whether this daemon is one of those that write the record.
	IsWriter func() bool
	// KeepFor returns for how long a version is kept after its last back end has left.
	KeepFor func() time.Duration
	Logger  zerolog.Logger
}

// Keeper reads the record at the start and keeps it up to date. It is safe for concurrent use.
type Keeper struct {
	Options
	mutex sync.Mutex
	// isRead is set once the record was read, and atStart is what it held for each service then.
	isRead  bool
	atStart map[string][]string
	// recorded is what the record held when it was last read or written.
	recorded map[string][]string
	// seen is when each version of a service was last listed, or first found in the record.
	seen map[string]map[string]time.Time
}

// New returns a keeper.
func New(options Options) *Keeper {
	return &Keeper{Options: options, seen: map[string]map[string]time.Time{}}
}

// MayHaveServed reports whether back ends of another software version than the given one may have begun
// streams of a service shortly before this daemon started.
func (k *Keeper) MayHaveServed(service, otherThan string) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !k.isRead {
		return true
	}
	return slices.ContainsFunc(k.atStart[service], func(version string) bool { return version != otherThan })
}

// Run reads the record and keeps it up to date until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil && !k.readAtStart(ctx) {
		clock.Sleep(ctx, retryPause/2+rand.N(retryPause))
	}
	for ctx.Err() == nil {
		pause := checkInterval
		if k.IsWriter() && len(k.changes(time.Now())) > 0 && !k.update(ctx) {
			pause = retryPause/2 + rand.N(retryPause)
		}
		clock.Sleep(ctx, pause)
	}
}

// readAtStart reads the record for the first time.
func (k *Keeper) readAtStart(ctx context.Context) bool {
	recorded, err := k.read(ctx)
	if err != nil {
		return false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.isRead, k.atStart = true, recorded
	k.note(recorded, time.Now())
	return true
}

// note records what the record holds. The caller must hold the mutex.
func (k *Keeper) note(recorded map[string][]string, now time.Time) {
	k.recorded = recorded
	for service, versions := range recorded {
		for _, version := range versions {
			if _, isSeen := k.seen[service][version]; !isSeen {
				k.see(service, version, now)
			}
		}
	}
}

// see records when a version was seen. The caller must hold the mutex.
func (k *Keeper) see(service, version string, now time.Time) {
	if k.seen[service] == nil {
		k.seen[service] = map[string]time.Time{}
	}
	k.seen[service][version] = now
}

func (k *Keeper) read(ctx context.Context) (map[string][]string, error) {
	ctx, cancel := context.WithTimeout(store.WithPurpose(ctx, store.PurposeRegistry), readTimeout)
	defer cancel()
	found, _, err := store.Newest(ctx, k.Store, Partition())
	if err != nil {
		return nil, err
	}
	recorded := map[string][]string{}
	for _, item := range found {
		var value record
		if json.Unmarshal(item.Value, &value) == nil {
			recorded[item.Key] = value.Versions
		}
	}
	return recorded, nil
}

// changes returns the services whose record differs from what it should be. A version is in the record while
// it is listed, and KeepFor longer.
func (k *Keeper) changes(now time.Time) map[string][]string {
	listed := k.Listed()
	keepFor := k.KeepFor()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for service, versions := range listed {
		for _, version := range versions {
			k.see(service, version, now)
		}
	}
	changed := map[string][]string{}
	for service := range k.seen {
		wanted := k.wanted(service, listed[service], now.Add(-keepFor))
		if len(wanted) == 0 && len(k.recorded[service]) == 0 {
			delete(k.seen, service)
			continue
		}
		if !slices.Equal(wanted, k.recorded[service]) && (len(k.recorded) < maxServices || k.recorded[service] != nil) {
			changed[service] = wanted
		}
	}
	return changed
}

// wanted returns the versions that a service's record should hold: those that are listed, and those of the
// record that were last seen after a time. The caller must hold the mutex.
func (k *Keeper) wanted(service string, listed []string, after time.Time) []string {
	versions := slices.Clone(listed)
	for _, version := range k.recorded[service] {
		if k.seen[service][version].After(after) {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	return versions[:min(len(versions), maxVersions)]
}

// update reads the record again and writes what should change. It returns false if a call failed.
func (k *Keeper) update(ctx context.Context) bool {
	recorded, err := k.read(ctx)
	if err != nil {
		return false
	}
	now := time.Now()
	k.mutex.Lock()
	k.note(recorded, now)
	k.mutex.Unlock()
	changed := k.changes(now)
	if len(changed) == 0 {
		return true
	}
	if err := k.write(ctx, changed); err != nil {
		k.Logger.Warn().Err(err).Int("services", len(changed)).Msg("Software versions of back ends not recorded.")
		return false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for service, versions := range changed {
		k.recorded[service] = versions
		k.Logger.Info().Str("service", service).Strs("versions", versions).Msg("Software versions of back ends recorded.")
	}
	return true
}

// write writes the records of services. One without versions is deleted.
func (k *Keeper) write(ctx context.Context, changed map[string][]string) error {
	var records []store.Record
	for service, versions := range changed {
		item := store.Record{Key: service}
		if len(versions) > 0 {
			value, err := json.Marshal(record{Versions: versions})
			if err != nil {
				return err
			}
			item.Value = value
		}
		records = append(records, item)
	}
	ctx, cancel := context.WithTimeout(store.WithPurpose(ctx, store.PurposeRegistry), writeTimeout)
	defer cancel()
	return k.Store.Append(ctx, Partition(), store.Writer{}, records)
}
