package relay

import (
	"sync"
	"time"
)

// fullGap is how long ago a service must have refused a request last to have been
// full ever since.
const fullGap = 250 * time.Millisecond

// fullServices remembers since when services refuse all requests. The zero value is
// ready.
type fullServices struct {
	mutex    sync.Mutex
	services map[string]fullService
}

type fullService struct{ since, seenAt time.Time }

// note takes note that all instances of a service refused a request, and returns
// since when they do.
func (f *fullServices) note(service string, now time.Time) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known, isKnown := f.services[service]
	if !isKnown || now.Sub(known.seenAt) > fullGap {
		known.since = now
	}
	known.seenAt = now
	f.services = withRoom(f.services)
	f.services[service] = known
	return known.since
}

// end takes note that an instance of a service took a request. It returns for how
// long none did, false if none refused one lately.
func (f *fullServices) end(service string, now time.Time) (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known, isKnown := f.services[service]
	if !isKnown {
		return 0, false
	}
	delete(f.services, service)
	return now.Sub(known.since), now.Sub(known.seenAt) <= fullGap
}
