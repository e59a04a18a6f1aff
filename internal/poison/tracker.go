package poison

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// confirmTimeout is how long a reservation may take to be read back from the store until the
	// store counts as out, and refreshAfter after which part of it the reservation is read without
	// waiting for the watch, whose connection may be dead.
	confirmTimeout = 500 * time.Millisecond
	refreshAfter   = 40 * time.Millisecond
	// recheckInterval is the time between two looks at a content that others send: their
	// reservations end without a word if they are gone.
	recheckInterval = 250 * time.Millisecond
	// tellAfter is how long the store may take to take an end until other daemons are told of it.
	tellAfter = 100 * time.Millisecond
	// outageWait is how long a request waits for a store that is out if it cannot go on without.
	outageWait = time.Second
	// maxHold is for how long the reservation of a request without a deadline holds.
	maxHold = 10 * time.Minute
	// burstWait is how long after the first end a content is not refused yet: other daemons may know
	// that it had been answered before.
	burstWait = 250 * time.Millisecond
	// maxLoggedSends is the most sends of a content in one log line.
	maxLoggedSends = 12
	// unconfirmedLimit is how many back ends may have ended under a content that is sent while the
	// store is out. The daemons that know of one end may all send it once more.
	unconfirmedLimit = 1
)

// Errors of Tracker.Admit.
var (
	// ErrLimitReached: as many back ends as allowed ended under the content.
	ErrLimitReached = eris.New("poison: too many back ends ended under the content")
	// ErrUnconfirmed: back ends ended under the content, and the store does not tell how many.
	ErrUnconfirmed = eris.New("poison: the store does not tell whether the content may be sent")
)

// Tracker is one request's use of a Guard. Its methods are called by one goroutine. A nil Tracker
// admits everything.
type Tracker struct {
	guard   *Guard
	about   About
	content Content
	// digest is that of content, "" until it is needed.
	digest Digest
	// generation is that of the request's sends.
	generation int64
	// reserved is the request's reservation, nil for none.
	reserved *reservation
	// isDetached: the request has ended.
	isDetached bool
	// isAnswered is set if the content was answered after the Tracker was detached.
	isAnswered atomic.Bool
	// ended is the latest end of a back end under the request, nil for none.
	ended *endedSend
}

// reservation is a reserved send of a Tracker.
type reservation struct {
	key sendKey
	// instance is the back end that it is meant for, "" if unknown.
	instance string
	at       time.Time
	// until is when the reservation ends.
	until time.Time
	// write stores it.
	write *write
	// isUnconfirmed is set once the content was admitted without it.
	isUnconfirmed bool
}

// endedSend is a send under which a back end ended.
type endedSend struct {
	key  sendKey
	send Send
	// write stores it.
	write *write
	// isKnown is set once the store has it or other daemons were told of it.
	isKnown bool
}

// NewTracker returns a Tracker for a request with a content, whose body must not change. Close must
// be called in the end.
func (g *Guard) NewTracker(content Content, about About) *Tracker {
	return &Tracker{guard: g, content: content, about: about}
}

// Digest returns the digest of the content.
func (t *Tracker) Digest() Digest {
	if t.digest == "" {
		t.digest = t.content.Digest()
	}
	return t.digest
}

// Admit returns nil once the content may be sent to a back end: at once for nearly all contents. For a
// suspected one it first reserves the send in the store, and waits while others send the same. prefer
// returns the back end that it will probably be sent to, "" if unknown. Errors that do not wrap those
// of this package are the context's.
func (t *Tracker) Admit(ctx context.Context, prefer func() string) error {
	if t == nil {
		return nil
	}
	t.guard.awaitList(ctx)
	if !t.guard.table.mayContain(&t.content) {
		t.forget()
		return nil
	}
	err := t.takeTurn(ctx, prefer)
	if err != nil {
		t.awaitEndKnown()
		t.forget()
	}
	return err
}

// takeTurn is Admit for a content that may be suspected.
func (t *Tracker) takeTurn(ctx context.Context, prefer func() string) error {
	began := time.Now()
	for {
		now := time.Now()
		known, isSuspect, changed := t.guard.table.standing(t.Digest(), now)
		t.generation = known.generation
		switch {
		case !isSuspect:
			t.forget()
			return nil
		case known.ends >= Limit:
			if now.Sub(known.endedAt) >= burstWait {
				t.logFirstRefusal()
				return ErrLimitReached
			}
			if err := awaitChangeUntil(ctx, known.endedAt.Add(burstWait), changed); err != nil {
				return err
			}
			continue
		case t.reserved == nil || now.After(t.reserved.until):
			t.forget()
			t.reserve(ctx, prefer)
		case known.first == t.reserved.key:
			t.guard.Metrics.waits.Observe(time.Since(began).Seconds())
			return nil
		}
		isOut := known.first == "" && t.isStoreOut(now)
		switch {
		case isOut && known.ends <= unconfirmedLimit:
			t.sendUnconfirmed()
			return nil
		case isOut && now.Sub(began) > outageWait:
			return ErrUnconfirmed
		}
		if err := t.awaitChange(ctx, changed); err != nil {
			return err
		}
	}
}

// logFirstRefusal logs for which sends the content is refused from now on.
func (t *Tracker) logFirstRefusal() {
	sends, isFirst := t.guard.table.firstRefusal(t.Digest())
	if !isFirst {
		return
	}
	t.guard.Logger.Warn().Str("content", string(t.Digest())).Str("request", t.about.Request).Int("sends", len(sends)).
		Interface("latest", sends[max(len(sends)-maxLoggedSends, 0):]).Msg("Content refused from now on. Too many back ends ended under it.")
}

// reserve reserves a send, unless another request of this daemon reserves the same content.
func (t *Tracker) reserve(ctx context.Context, prefer func() string) {
	if !t.guard.claim(t) {
		return
	}
	send := t.newReservation(ctx, prefer())
	t.reserved.write = t.guard.store(t.reserved.key, send)
}

// newReservation creates a reservation that holds until ctx ends, and returns it as a send to be
// stored.
func (t *Tracker) newReservation(ctx context.Context, instance string) Send {
	now := time.Now()
	hold := maxHold
	if deadline, limited := ctx.Deadline(); limited {
		hold = min(max(deadline.Sub(now), 0), maxHold)
	}
	t.reserved = &reservation{key: newSendKey(t.Digest(), rand.Uint64()), instance: instance, at: now, until: now.Add(hold)}
	send := t.newSend(StateReserved, instance)
	send.HoldMS = hold.Milliseconds()
	return send
}

func (t *Tracker) newSend(state State, instance string) Send {
	return Send{
		State: state, Daemon: t.guard.Self, Instance: instance, About: t.about, AtMS: time.Now().UnixMilli(), Generation: t.generation,
	}
}

// isStoreOut reports whether the store has refused the reservation or is late with it.
func (t *Tracker) isStoreOut(now time.Time) bool {
	if t.reserved == nil || t.isReservationLogged() {
		return false
	}
	return isClosed(t.reserved.write.failed) || now.Sub(t.reserved.at) >= confirmTimeout
}

func (t *Tracker) isReservationLogged() bool { return t.guard.table.isLogged(t.reserved.key) }

// sendUnconfirmed lets the content be sent although the store has not taken the reservation.
func (t *Tracker) sendUnconfirmed() {
	if t.reserved.isUnconfirmed {
		return
	}
	t.reserved.isUnconfirmed = true
	t.awaitEndKnown()
	t.guard.Metrics.unconfirmed.Inc()
	t.guard.Logger.Warn().Str("content", string(t.Digest())).Str("request", t.about.Request).
		Msg("Suspected content sent once more. The store does not take the reservation.")
}

// awaitChangeUntil waits until the table has changed, or a time.
func awaitChangeUntil(ctx context.Context, until time.Time, changed <-chan struct{}) error {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// awaitChange waits until the table has changed, or something else may have.
func (t *Tracker) awaitChange(ctx context.Context, changed <-chan struct{}) error {
	var failed <-chan struct{}
	if t.reserved != nil && !isClosed(t.reserved.write.failed) {
		failed = t.reserved.write.failed
	}
	timer := time.NewTimer(t.nextCheck())
	defer timer.Stop()
	select {
	case <-changed:
	case <-failed:
	case <-timer.C:
		t.refreshIfUnread()
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && t.isStoreOut(time.Now()) {
			return ErrUnconfirmed
		}
		return ctx.Err()
	}
	return nil
}

// nextCheck returns how long awaitChange waits without a change.
func (t *Tracker) nextCheck() time.Duration {
	switch {
	case t.reserved == nil || t.isReservationLogged() || isClosed(t.reserved.write.failed):
		return recheckInterval
	case isClosed(t.reserved.write.taken):
		return refreshAfter
	}
	return min(max(time.Until(t.reserved.at.Add(confirmTimeout)), refreshAfter), recheckInterval)
}

// refreshIfUnread reads the store if it has taken the reservation and the watch does not show that.
func (t *Tracker) refreshIfUnread() {
	if t.reserved == nil || t.isReservationLogged() || !isClosed(t.reserved.write.taken) {
		return
	}
	select {
	case t.guard.refresh <- struct{}{}:
	default: // a read is requested already
	}
}

// Avoid returns the back ends to which the content should not be sent if there are others: they run
// other suspected contents.
func (t *Tracker) Avoid() []string {
	if t == nil || t.reserved == nil {
		return nil
	}
	return t.guard.table.occupied(t.reserved.key, time.Now())
}

// IsSuspect reports whether the content is sent under a reservation.
func (t *Tracker) IsSuspect() bool { return t != nil && t.reserved != nil }

// Ended records that the back end to which the content was sent ended while it ran it. If the request
// may be sent again, prefer returns the back end that it will probably be sent to; otherwise it is nil,
// and Ended returns once the store has the end, or, if that takes long, other daemons were told.
func (t *Tracker) Ended(ctx context.Context, instance string, prefer func() string) {
	if t == nil || t.isAnswered.Load() {
		return
	}
	ends := t.noteEnd(instance)
	t.guard.reportIfAnswered([]Digest{t.Digest()})
	if prefer == nil || ends >= Limit || !t.guard.claim(t) {
		t.ended.write = t.guard.store(t.ended.key, t.ended.send)
		t.awaitEndKnown()
		return
	}
	t.storeEndAndReserve(ctx, prefer())
}

// noteEnd makes the latest send one under which a back end ended, and returns how many ends of the content
// are known now.
func (t *Tracker) noteEnd(instance string) (ends int) {
	key := endKey(t.Digest(), instance)
	if t.reserved != nil {
		key = t.reserved.key // the reservation becomes the end
		t.guard.dropNeverSentBehind(key)
	}
	t.reserved = nil
	t.ended = &endedSend{key: key, send: t.newSend(StateEnded, instance)}
	t.guard.table.put(key, t.ended.send, notLogged, time.Now())
	known, _, _ := t.guard.table.standing(t.Digest(), time.Now())
	t.guard.Metrics.ends.Inc()
	t.guard.Logger.Warn().Str("content", string(t.Digest())).Str("request", t.about.Request).Str("route", t.about.Route).
		Str("instance", instance).Int("ends", known.ends).Msg("Back end ended under a request.")
	return known.ends
}

// storeEndAndReserve stores the latest end and a reservation for the next send together.
func (t *Tracker) storeEndAndReserve(ctx context.Context, instance string) {
	next := t.newReservation(ctx, instance)
	record, err := next.record(t.reserved.key)
	if err != nil {
		t.guard.logUnencodable(t.reserved.key, err)
		t.reserved = nil
		t.ended.write = t.guard.store(t.ended.key, t.ended.send)
		return
	}
	t.ended.write = t.guard.store(t.ended.key, t.ended.send, record)
	t.reserved.write = t.ended.write
}

// awaitEndKnown waits until the store has the latest end and other daemons have read it. If that takes
// long, it tells them.
func (t *Tracker) awaitEndKnown() {
	if t.ended == nil || t.ended.isKnown {
		return
	}
	t.ended.isKnown = true
	if t.guard.storeOrTell(t.ended.write, t.ended.key, t.ended.send) {
		time.Sleep(spreadTime(t.guard.View))
	}
}

// Answered records that a back end answered the request completely: the content is not suspected any
// more. The body is not needed from then on.
func (t *Tracker) Answered() {
	if t == nil {
		return
	}
	t.guard.noteAnswered(&t.content)
	t.guard.detached.noteAnswered(&t.content)
	defer func() { t.content.Body = nil }()
	if !t.guard.table.mayContain(&t.content) {
		return
	}
	known, isSuspect, _ := t.guard.table.standing(t.Digest(), time.Now())
	t.forget()
	if !isSuspect {
		return
	}
	t.generation = known.generation + 1
	t.storeAnswer()
	t.guard.Metrics.cleared.Inc()
	t.guard.Logger.Info().Str("content", string(t.Digest())).Str("request", t.about.Request).
		Msg("Content is not suspected any more. A back end answered it.")
}

// storeAnswer stores that a back end answered, and deletes the sends that do not count any more.
func (t *Tracker) storeAnswer() {
	key, answered := answeredKey(t.Digest(), t.generation), t.newSend(StateAnswered, "")
	voided := slices.DeleteFunc(t.guard.table.keysOf(t.Digest()), func(other sendKey) bool { return other == key })
	t.guard.table.put(key, answered, notLogged, time.Now())
	t.guard.table.drop(voided...)
	stored := t.guard.store(key, answered, deletions(voided)...)
	go t.guard.storeOrTell(stored, key, answered)
}

// Close releases what the request has reserved.
func (t *Tracker) Close() {
	if t != nil {
		t.forget()
		if t.isDetached {
			t.guard.detached.remove(t)
		}
	}
}

// forget releases the reservation, if there is one, and lets other requests of this daemon reserve the
// content.
func (t *Tracker) forget() {
	if t.reserved != nil {
		t.guard.release(t.reserved.key)
		t.reserved = nil
	}
	if t.digest != "" {
		t.guard.unclaim(t)
	}
}
