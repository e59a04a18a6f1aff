package poison

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

// maxContents is the most contents that are kept, of at most some 600 bytes for each send.
const maxContents = 4096

// standing is what is known about a suspected content.
type standing struct {
	// ends is how many back ends have ended under it.
	ends int
	// first is the key of the reservation whose turn it is to send it, "" for none.
	first sendKey
	// generation is the generation of new sends.
	generation int64
	// endedAt is when this daemon heard of the earliest of the ends, and wasAnsweredBefore is set if
	// the content had been answered before that.
	endedAt           time.Time
	wasAnsweredBefore bool
}

// table holds the suspected contents that this daemon knows. It is safe for concurrent use.
type table struct {
	// count is the number of suspects. It is read without the mutex: nearly always it is 0.
	count    atomic.Int64
	mutex    sync.Mutex
	suspects map[Digest]*suspect
	// shapes counts the suspects by shape.
	shapes map[shape]int
	// changed is closed and replaced at each change.
	changed chan struct{}
	fleet   knownRuns
}

// newTable returns an empty table.
func newTable(fleet knownRuns) table {
	return table{suspects: map[Digest]*suspect{}, shapes: map[shape]int{}, changed: make(chan struct{}), fleet: fleet}
}

// mayContain reports whether a content may be suspected. It does not read the content's body.
func (t *table) mayContain(content *Content) bool {
	if t.count.Load() == 0 {
		return false
	}
	shape := content.shape()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.shapes[shape] > 0
}

// standing returns what is known about a content, and a channel that is closed at the next change of
// the table; isSuspect is false if the content is not suspected.
func (t *table) standing(content Digest, now time.Time) (known standing, isSuspect bool, changed <-chan struct{}) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s := t.suspects[content]
	if s == nil {
		return standing{}, false, t.changed
	}
	first, ends := s.first(now), s.ends(now)
	known = standing{ends: ends, first: first, generation: s.generation, endedAt: s.endedAt(), wasAnsweredBefore: s.wasAnsweredBefore()}
	return known, ends > 0, t.changed
}

// firstRefusal returns the sends for which a content is refused, the earliest first, and whether it was not
// refused by this daemon before.
func (t *table) firstRefusal(content Digest) (sends []Send, isFirst bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s := t.suspects[content]
	if s == nil || s.isRefused {
		return nil, false
	}
	s.isRefused = true
	return s.countedSends(), true
}

// isLogged reports whether a send was read from the store.
func (t *table) isLogged(key sendKey) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s := t.suspects[key.content()]
	return s != nil && s.sends[key] != nil && s.sends[key].offset != notLogged
}

// occupied returns the instances for which other contents than the key's have a reservation whose
// turn it is and which is earlier than the key's. Suspects that run on different back ends cannot be
// blamed for each other's ends.
func (t *table) occupied(key sendKey, now time.Time) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	own := int64(notLogged)
	if s := t.suspects[key.content()]; s != nil && s.sends[key] != nil {
		own = s.sends[key].offset
	}
	var instances []string
	for content, s := range t.suspects {
		if content == key.content() {
			continue
		}
		if first := s.sends[s.first(now)]; first != nil && first.offset < own && first.Instance != "" {
			instances = append(instances, first.Instance)
		}
	}
	return instances
}

// put adds a send, or its new state.
func (t *table) put(key sendKey, send Send, offset int64, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.putLocked(key, send, offset, now)
	t.suspects[key.content()].first(now)
	t.signal()
}

// putLocked is put for callers that hold the mutex, note which reservations are first then, and signal the
// change.
func (t *table) putLocked(key sendKey, send Send, offset int64, now time.Time) {
	content := key.content()
	s := t.suspects[content]
	if s == nil {
		s = &suspect{sends: map[sendKey]*knownSend{}, fleet: t.fleet}
		t.suspects[content] = s
		t.shapes[content.shape()]++
		t.count.Add(1)
	}
	known := s.sends[key]
	switch {
	case known == nil:
		s.sends[key] = &knownSend{Send: send, offset: offset, heardAt: now}
	case known.State == send.State:
		known.offset = min(known.offset, offset)
	case known.State == StateReserved: // an end is final
		known.Send, known.heardAt = send, now
		known.offset = min(known.offset, offset)
		s.noteResolved(key)
	}
	if send.State == StateAnswered {
		s.generation = max(s.generation, send.Generation)
		s.isRefused = false
	}
}

// drop removes sends.
func (t *table) drop(keys ...sendKey) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, key := range keys {
		t.dropLocked(key)
	}
	t.signal()
}

func (t *table) dropLocked(key sendKey) {
	content := key.content()
	s := t.suspects[content]
	if s == nil {
		return
	}
	delete(s.sends, key)
	s.noteResolved(key)
	if len(s.sends) > 0 {
		return
	}
	delete(t.suspects, content)
	t.count.Add(-1)
	if t.shapes[content.shape()]--; t.shapes[content.shape()] == 0 {
		delete(t.shapes, content.shape())
	}
}

// apply applies what was read from the store. It returns the contents under which back ends ended, and
// the keys of malformed records.
func (t *table) apply(update store.Update, now time.Time) (ended []Digest, malformed []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	listed := map[sendKey]bool{}
	changed := map[Digest]bool{}
	for _, record := range update.Records {
		changed[sendKey(record.Key).content()] = true
		if len(record.Value) == 0 {
			t.dropLocked(sendKey(record.Key))
			continue
		}
		key, send, err := parseSend(record)
		if err != nil {
			malformed = append(malformed, record.Key)
			continue
		}
		listed[key] = true
		t.putLocked(key, send, record.Offset, now)
		if send.State == StateEnded {
			ended = append(ended, key.content())
		}
	}
	if update.Complete {
		t.dropUnlisted(listed)
	}
	t.noteTurns(changed, now)
	t.signal()
	return ended, malformed
}

// noteTurns notes whose turn it was and is, once all records of an update are applied: a list is not in the
// order of the log, so that each part of it has another first reservation.
func (t *table) noteTurns(changed map[Digest]bool, now time.Time) {
	for content := range changed {
		if s := t.suspects[content]; s != nil {
			s.noteEarlierTurns(now)
			s.first(now)
		}
	}
}

// dropUnlisted removes the sends that the store has no more.
func (t *table) dropUnlisted(listed map[sendKey]bool) {
	for _, s := range t.suspects {
		for key, send := range s.sends {
			if send.offset != notLogged && !listed[key] {
				t.dropLocked(key)
			}
		}
	}
}

// neverSentBehind returns the reservations whose turn never came because of a reservation that holds.
func (t *table) neverSentBehind(first sendKey) []sendKey {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s := t.suspects[first.content()]
	if s == nil {
		return nil
	}
	s.first(time.Now()) // notes those whose holders are gone by now
	return s.neverSentBehind(first)
}

// wake wakes those that wait for a change.
func (t *table) wake() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.signal()
}

// signal is wake for callers that hold the mutex.
func (t *table) signal() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// keysOf returns the keys of a content's sends.
func (t *table) keysOf(content Digest) []sendKey {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if s := t.suspects[content]; s != nil {
		return s.keys()
	}
	return nil
}

// counts returns the number of contents that are suspected, and of those that are refused.
func (t *table) counts(now time.Time) (suspected, refused int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, s := range t.suspects {
		if s.ends(now) >= Limit {
			refused++
		} else {
			suspected++
		}
	}
	return suspected, refused
}

// removable returns the keys of the contents whose lifetime is over, and of those beyond the most that
// are kept: those with the fewest ends go first, and of them the oldest.
func (t *table) removable(now time.Time) []sendKey {
	type candidate struct {
		suspect *suspect
		ends    int
		at      time.Time
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var keys []sendKey
	var kept []candidate
	for _, s := range t.suspects {
		c := candidate{suspect: s, ends: s.ends(now), at: s.newestAt()}
		if now.Sub(c.at) > s.lifetime() {
			keys = append(keys, s.keys()...)
			continue
		}
		kept = append(kept, c)
	}
	slices.SortFunc(kept, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.ends, b.ends), a.at.Compare(b.at))
	})
	for _, c := range kept[:max(len(kept)-maxContents, 0)] {
		keys = append(keys, c.suspect.keys()...)
	}
	return keys
}
