package instance

import (
	"maps"
	"slices"
	"time"
)

// Preview returns the instance that Take would choose for a query now, without counting a
// request there, and whether instances of its service run other software versions. It returns
// false if no instance of the service may get the request.
func (p *Pool) Preview(query Query) (preview Instance, isMixed, found bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	p.currentQuery = query
	chosen := &p.currentQuery
	chosen.ServiceTime = p.serviceTimes[query.Service]
	best := p.prefer(chosen, now)
	if best == nil {
		return Instance{}, false, false
	}
	return best.Instance, len(p.byService[query.Service].versions) > 1, true
}

// SoleVersion is the only software version of a service's instances.
type SoleVersion struct {
	Version string
	// Since is since when it has been the only one as far as this daemon knows. IsSinceStart:
	// that is when it read its first list, so there may have been others just before.
	Since        time.Time
	IsSinceStart bool
}

// SoleVersion returns the only software version of a service's instances, including those that
// leave and those that may have left; false if there are several or none.
func (p *Pool) SoleVersion(service string) (sole SoleVersion, isSole bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	sole, isSole = p.soleVersions[service]
	return sole, isSole
}

// Versions returns the software versions of each service's instances, sorted, including those that leave and
// those that may have left.
func (p *Pool) Versions() map[string][]string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	versions := make(map[string][]string, len(p.byService))
	for name, index := range p.byService {
		versions[name] = slices.Sorted(maps.Keys(index.versions))
	}
	return versions
}

// ServiceVersion is a software version of a service's instances.
type ServiceVersion struct{ Service, Version string }

// maxUnseenTime is for how long the list may not have been read before a complete list proves nothing about
// the versions in between: entries may have come and gone. It is longer than two reads are apart.
const maxUnseenTime = 1500 * time.Millisecond

// notePassedVersions records that a service's only software version may not have been the only one since the
// last update: instances of others came and went, or may have.
func (p *Pool) notePassedVersions(update Update, now time.Time) {
	for _, passed := range update.Passed {
		if sole, isSole := p.soleVersions[passed.Service]; isSole && sole.Version != passed.Version {
			p.soleVersions[passed.Service] = SoleVersion{Version: sole.Version, Since: now}
		}
	}
	if !update.Complete || now.Sub(p.listedAt) <= maxUnseenTime {
		return
	}
	for service, sole := range p.soleVersions {
		p.soleVersions[service] = SoleVersion{Version: sole.Version, Since: now}
	}
}

// noteVersions records which services have a single software version.
func (p *Pool) noteVersions(now time.Time) {
	for name := range p.soleVersions {
		if p.byService[name] == nil {
			delete(p.soleVersions, name)
		}
	}
	for name, index := range p.byService {
		if len(index.versions) > 1 {
			delete(p.soleVersions, name)
			continue
		}
		for version := range index.versions {
			if known, isKnown := p.soleVersions[name]; !isKnown || known.Version != version {
				p.soleVersions[name] = SoleVersion{Version: version, Since: now, IsSinceStart: now.Equal(p.firstListedAt)}
			}
		}
	}
}
