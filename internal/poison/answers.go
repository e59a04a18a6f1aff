package poison

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Many requests may have one content. If some of them are at work on each of several back ends that are
// lost together, as many ends come at once under a content that harms nothing. So daemons remember what
// was answered through them, and the ends that come at once count as one if the content had been answered
// before. What is sent after the first end is known counts as ever.

const (
	// answerLifetime is for how long at least an answer is remembered, and maxAnswers the number of
	// shapes and contents from which on it may be forgotten earlier.
	answerLifetime = 5 * time.Minute
	maxAnswers     = 4096
	// digestInterval is the least time between two answers to contents of one shape whose digest is
	// computed.
	digestInterval = 100 * time.Millisecond
)

// answers holds the contents that back ends have answered lately: a sample of those whose shape was
// answered more than once, so that most bodies are never read. It is safe for concurrent use; the zero
// value is ready.
type answers struct {
	mutex sync.Mutex
	// newest is what was answered since rotatedAt, and older what was before.
	newest, older answeredContents
	rotatedAt     time.Time
}

// answeredContents is what was answered within a time.
type answeredContents struct {
	// digestAt holds the shapes, and from when on the digest of another content is computed.
	digestAt map[uint64]time.Time
	digests  map[Digest]struct{}
}

// isDigestDue notes that a content was answered, and reports whether its digest is to be added.
func (a *answers) isDigestDue(content *Content, now time.Time) bool {
	number := content.shapeNumber()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.rotate(now)
	dueAt, isKnown := a.newest.digestAt[number]
	if !isKnown {
		_, isKnown = a.older.digestAt[number]
	}
	if now.Before(dueAt) {
		return false
	}
	a.newest.digestAt[number] = now
	if isKnown {
		a.newest.digestAt[number] = now.Add(digestInterval)
	}
	return isKnown
}

// add adds the digest of an answered content.
func (a *answers) add(content Digest, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.rotate(now)
	a.newest.digests[content] = struct{}{}
}

// contains reports whether a content is known as answered lately.
func (a *answers) contains(content Digest, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.rotate(now)
	_, isNewest := a.newest.digests[content]
	_, isOlder := a.older.digests[content]
	return isNewest || isOlder
}

// rotate forgets the older answers if the newest are too many, or their time is over.
func (a *answers) rotate(now time.Time) {
	age := now.Sub(a.rotatedAt)
	if a.newest.digestAt != nil && len(a.newest.digestAt) < maxAnswers && len(a.newest.digests) < maxAnswers && age < answerLifetime {
		return
	}
	a.older = a.newest
	if age >= 2*answerLifetime {
		a.older = answeredContents{}
	}
	a.newest = answeredContents{digestAt: map[uint64]time.Time{}, digests: map[Digest]struct{}{}}
	a.rotatedAt = now
}

// noteAnswered notes that a content was answered.
func (g *Guard) noteAnswered(content *Content) {
	if !g.answers.isDigestDue(content, time.Now()) {
		return
	}
	answered := *content
	go func() { g.answers.add(answered.Digest(), time.Now()) }()
}

// reportIfAnswered stores that contents under which back ends ended had been answered before, if this daemon
// knows that. It does so after a random time, unless another daemon was faster.
func (g *Guard) reportIfAnswered(ended []Digest) {
	now := time.Now()
	for _, content := range ended {
		if g.answers.contains(content, now) {
			time.AfterFunc(rand.N(spreadTime(g.View)+1), func() { g.storeAnsweredBefore(content) })
		}
	}
}

// storeAnsweredBefore stores that a suspected content had been answered before, unless that is known.
func (g *Guard) storeAnsweredBefore(content Digest) {
	known, isSuspect, _ := g.table.standing(content, time.Now())
	if !isSuspect || known.wasAnsweredBefore {
		return
	}
	key := answeredBeforeKey(content, known.generation)
	send := Send{State: StateAnsweredBefore, Daemon: g.Self, AtMS: time.Now().UnixMilli(), Generation: known.generation}
	g.table.put(key, send, notLogged, time.Now())
	go g.storeOrTell(g.store(key, send), key, send)
	g.Logger.Info().Str("content", string(content)).Msg("Suspected content had been answered before. Ends that came at once count as one.")
}
