package relay

import (
	"sync"
	"time"
)

const (
	// sessionLife is how long a session's instance is remembered after its
	// last turn.
	sessionLife = 20 * time.Second
	// sessionLimit bounds the sessions that are remembered.
	sessionLimit = 8192
)

// sessions remembers which instance last served each line of turns: it holds
// the line's prompt in its cache.
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

// find returns the instance that knows a program's session, or else the
// program's latest turn, "" if none is known.
func (s *sessions) find(program *Program) string {
	if program == nil {
		return ""
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, key := range [...]string{program.ID + "/" + program.Session, program.ID} {
		if e, known := s.entries[key]; known && time.Since(e.at) < sessionLife {
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
	if len(s.entries) >= sessionLimit {
		s.trim()
	}
	e := sessionEntry{instance: instance, at: time.Now()}
	s.entries[program.ID+"/"+program.Session] = e
	s.entries[program.ID] = e
}

// trim drops what is old, and everything if nothing is.
func (s *sessions) trim() {
	for key, e := range s.entries {
		if time.Since(e.at) > sessionLife {
			delete(s.entries, key)
		}
	}
	if len(s.entries) >= sessionLimit {
		clear(s.entries)
	}
}
