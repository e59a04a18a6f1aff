package relay

import (
	"sync"
	"time"
)

// fullServiceTTL is how long after its last refusal a service still counts as full.
const fullServiceTTL = 250 * time.Millisecond

// fullServices tracks since when services have refused all requests. The zero value is
// ready to use.
type fullServices struct {
	mutex    sync.Mutex
	services map[string]fullService
}

type fullService struct{ since, seenAt time.Time }

// noteFull records that all instances of a service refused a request, and returns since
// when they have.
func (f *fullServices) noteFull(service string, now time.Time) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known, isKnown := f.services[service]
	if !isKnown || now.Sub(known.seenAt) > fullServiceTTL {
		known.since = now
	}
	known.seenAt = now
	f.services = ensureCapacity(f.services)
	f.services[service] = known
	return known.since
}

// noteNotFull records that an instance of a service accepted a request. It returns how long
// none had; false if none had refused one recently.
func (f *fullServices) noteNotFull(service string, now time.Time) (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known, isKnown := f.services[service]
	if !isKnown {
		return 0, false
	}
	delete(f.services, service)
	return now.Sub(known.since), now.Sub(known.seenAt) <= fullServiceTTL
}
