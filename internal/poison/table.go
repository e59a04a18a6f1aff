package poison

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// holdMargin is added to the time that a reservation holds, as other daemons hear of it later
	// than its holder.
	holdMargin = 2 * time.Second
	// sameEndWindow is for how long the end of a back end is told by several sends: a request may
	// still be sent on a connection whose end has not arrived yet.
	sameEndWindow = 250 * time.Millisecond
	// maxClockSkew is by how much the clock of another daemon may be ahead.
	maxClockSkew = time.Minute
	// notLogged is the offset of a send that was not read from the store yet.
	notLogged = math.MaxInt64
)

// knownSend is a Send as a daemon knows it.
type knownSend struct {
	Send
	// offset is the position of the send's latest record in the store, or notLogged.
	offset int64
	// heardAt is when this daemon heard of the latest state.
	heardAt time.Time
	// wasFirst is set once it was the turn of a reservation while its holder could still send the
	// content.
	wasFirst bool
}

// mayBeSent reports whether the holder of a reservation may still begin to send the content.
func (k *knownSend) mayBeSent(now time.Time) bool { return now.Sub(k.heardAt) <= k.hold() }

// isOver reports whether a reservation holds no more.
func (k *knownSend) isOver(now time.Time) bool {
	return now.Sub(k.heardAt) > k.hold()+holdMargin
}

// suspect is a content under which a back end has ended.
type suspect struct {
	// sends holds the latest state of all sends. Those of an earlier generation do not count.
	sends      map[sendKey]*knownSend
	generation int64
	// isRunning reports whether a back end is known to run.
	isRunning func(instance string) bool
}

// counts reports whether a send counts.
func (s *suspect) counts(send *knownSend) bool { return send.Generation >= s.generation }

// first returns the key of the reservation whose turn it is, "" if there is none: the earliest in
// the store's log that still holds.
func (s *suspect) first(now time.Time) sendKey {
	first, offset := sendKey(""), int64(notLogged)
	for key, send := range s.sends {
		if send.State == StateReserved && s.counts(send) && send.offset < offset && !send.isOver(now) {
			first, offset = key, send.offset
		}
	}
	if first != "" && s.sends[first].mayBeSent(now) {
		s.sends[first].wasFirst = true
	}
	return first
}

// ends returns how many back ends have ended under the content: those that a daemon saw, and those
// that are presumed to have.
func (s *suspect) ends(now time.Time) int { return s.seenEnds() + s.presumedEnds(now) }

// presumedEnds counts the reservations whose holder is gone, so that nobody tells what became of the
// back end, unless that is known to run.
func (s *suspect) presumedEnds(now time.Time) int {
	presumed := 0
	for _, send := range s.sends {
		isOpen := send.State == StateReserved && s.counts(send) && send.wasFirst && send.isOver(now)
		if isOpen && send.Instance != "" && !s.isRunning(send.Instance) {
			presumed++
		}
	}
	return presumed
}

// seenEnds counts the back ends that a daemon saw end. Those that ended before any of it was known count as
// one if the content had been answered before.
func (s *suspect) seenEnds() int {
	var reserved, unreserved []*knownSend
	for key, send := range s.sends {
		switch {
		case send.State != StateEnded || !s.counts(send):
		case key.isReserved():
			reserved = append(reserved, send)
		default:
			unreserved = append(unreserved, send)
		}
	}
	if len(unreserved) > 0 && s.wasAnsweredBefore() {
		return distinctEnds(reserved) + 1
	}
	return distinctEnds(append(reserved, unreserved...))
}

// wasAnsweredBefore reports whether the content had been answered before the ends that count.
func (s *suspect) wasAnsweredBefore() bool {
	for _, send := range s.sends {
		if send.State == StateAnsweredBefore && s.counts(send) {
			return true
		}
	}
	return false
}

// distinctEnds counts ends of back ends; several sends may tell of one.
func distinctEnds(ended []*knownSend) int {
	slices.SortFunc(ended, func(a, b *knownSend) int { return cmp.Compare(a.AtMS, b.AtMS) })
	distinct := 0
	for number, send := range ended {
		isSame := func(earlier *knownSend) bool {
			return earlier.Instance == send.Instance && send.AtMS-earlier.AtMS < sameEndWindow.Milliseconds()
		}
		if !slices.ContainsFunc(ended[:number], isSame) {
			distinct++
		}
	}
	return distinct
}

// endedAt returns when this daemon heard of the earliest end that counts; zero if there is none.
func (s *suspect) endedAt() time.Time {
	var earliest time.Time
	for _, send := range s.sends {
		isEarlier := earliest.IsZero() || send.heardAt.Before(earliest)
		if send.State == StateEnded && s.counts(send) && isEarlier {
			earliest = send.heardAt
		}
	}
	return earliest
}

// changedAt returns the time of day of the send's last change, as its daemon noted it. If that is far
// ahead of this daemon's clock, it is when this daemon heard of it.
func (k *knownSend) changedAt() time.Time {
	noted := time.UnixMilli(k.AtMS)
	if noted.Sub(k.heardAt) > maxClockSkew {
		return k.heardAt
	}
	return noted
}

// newestAt returns the time of day of the latest change.
func (s *suspect) newestAt() time.Time {
	var newest time.Time
	for _, send := range s.sends {
		if at := send.changedAt(); at.After(newest) {
			newest = at
		}
	}
	return newest
}

// keys returns the keys of all sends, sorted.
func (s *suspect) keys() []sendKey {
	keys := make([]sendKey, 0, len(s.sends))
	for key := range s.sends {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

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
	// isRunning reports whether a back end is known to run.
	isRunning func(instance string) bool
}

// newTable returns an empty table. isRunning reports whether a back end is known to run; nil if that is
// not known of any.
func newTable(isRunning func(instance string) bool) table {
	if isRunning == nil {
		isRunning = func(string) bool { return false }
	}
	return table{suspects: map[Digest]*suspect{}, shapes: map[shape]int{}, changed: make(chan struct{}), isRunning: isRunning}
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
	t.signal()
}

// putLocked is put for callers that hold the mutex and signal the change.
func (t *table) putLocked(key sendKey, send Send, offset int64, now time.Time) {
	content := key.content()
	s := t.suspects[content]
	if s == nil {
		s = &suspect{sends: map[sendKey]*knownSend{}, isRunning: t.isRunning}
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
	}
	if send.State == StateAnswered {
		s.generation = max(s.generation, send.Generation)
	}
	s.first(now) // notes which reservation is first
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
	for _, record := range update.Records {
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
	t.signal()
	return ended, malformed
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

const (
	// suspectLifetime is how long a content stays suspected after the last back end ended under
	// it: longer than callers and programs retry. refusalLifetime is the same for one that is
	// refused.
	suspectLifetime = 10 * time.Minute
	refusalLifetime = 24 * time.Hour
	// maxContents is the most contents that are kept, of at most some 600 bytes for each send.
	maxContents = 4096
)

// lifetime returns for how long a content is kept after the last change. Ends that are only presumed
// do not keep it for longer.
func (s *suspect) lifetime() time.Duration {
	if s.seenEnds() >= Limit {
		return refusalLifetime
	}
	return suspectLifetime
}
