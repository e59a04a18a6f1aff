package relay

import (
	"sync"
	"time"
)

const (
	// sessionTTL is how long a session's instance is remembered after its last turn.
	sessionTTL = 20 * time.Second
	// maxSessions bounds the number of remembered entries.
	maxSessions = 8192
)

// sessions remembers which instance last served each session: that instance has the
// session's prompt in its cache.
type sessions struct {
	mutex   sync.Mutex
	entries map[string]sessionEntry
}

type sessionEntry struct {
	instance string
	at       time.Time
}

func newSessions() *sessions {
	return &sessions{entries: map[string]sessionEntry{}}
}

// find returns the instance that last served the program's session, or else the program's
// latest turn; "" if none is known.
func (s *sessions) find(program *Program) string {
	if program == nil {
		return ""
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, key := range [...]string{program.ID + "/" + program.Session, program.ID} {
		if e, known := s.entries[key]; known && time.Since(e.at) < sessionTTL {
			return e.instance
		}
	}
	return ""
}

// note remembers the instance that served a turn.
func (s *sessions) note(program *Program, instance string) {
	if program == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.entries) >= maxSessions {
		s.evict()
	}
	e := sessionEntry{instance: instance, at: time.Now()}
	s.entries[program.ID+"/"+program.Session] = e
	s.entries[program.ID] = e
}

// evict drops expired entries, and all entries if that does not make room.
func (s *sessions) evict() {
	for key, e := range s.entries {
		if time.Since(e.at) > sessionTTL {
			delete(s.entries, key)
		}
	}
	if len(s.entries) >= maxSessions {
		clear(s.entries)
	}
}
