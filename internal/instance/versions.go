package instance

import "time"

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

// soleVersion is the only software version of a service's instances, and since when it has
// been. It is the zero value while there are several.
type soleVersion struct {
	version string
	since   time.Time
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
			if known := p.soleVersions[name]; known.since.IsZero() || known.version != version {
				p.soleVersions[name] = soleVersion{version, now}
			}
		}
	}
}

// SoleVersion returns the software version that all instances of a service had from a time
// on, as of the latest confirmation of the list, which it also returns; false if this daemon
// knows of several versions or does not know the list for that long.
func (p *Pool) SoleVersion(service string, from time.Time) (version string, asOf time.Time, isSole bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known, isKnown := p.soleVersions[service]
	if !isKnown || known.since.After(from) {
		return "", time.Time{}, false
	}
	return known.version, p.listedAt, true
}
