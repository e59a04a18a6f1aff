package poison

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/store"
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
	// unconfirmedLimit is how many back ends may have ended under a content that is sent while the
	// store is out. The daemons that know of one end may all send it once more.
	unconfirmedLimit = 1
)

// Errors of Attempt.Admit.
var (
	// ErrLimitReached: as many back ends as allowed ended under the content.
	ErrLimitReached = eris.New("poison: too many back ends ended under the content")
	// ErrUnconfirmed: back ends ended under the content, and the store does not tell how many.
	ErrUnconfirmed = eris.New("poison: the store does not tell whether the content may be sent")
)

// Attempt is one request's use of a Guard. Its methods are called by one goroutine. A nil Attempt
// admits everything.
type Attempt struct {
	guard   *Guard
	about   About
	content Content
	// digest is that of content, "" until it is needed.
	digest Digest
	// generation is that of the request's sends.
	generation int64
	// reserved is the request's reservation, nil for none.
	reserved *reservation
	// ended is the latest end of a back end under the request, nil for none.
	ended *endedSend
}

// reservation is a reserved send of an Attempt.
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

// NewAttempt returns an Attempt for a request with a content, whose body must not change. Close must
// be called in the end.
func (g *Guard) NewAttempt(content Content, about About) *Attempt {
	return &Attempt{guard: g, content: content, about: about}
}

// Digest returns the digest of the content.
func (a *Attempt) Digest() Digest {
	if a.digest == "" {
		a.digest = a.content.Digest()
	}
	return a.digest
}

// Admit returns nil once the content may be sent to a back end: at once for nearly all contents. For a
// suspected one it first reserves the send in the store, and waits while others send the same. prefer
// returns the back end that it will probably be sent to, "" if unknown. Errors that do not wrap those
// of this package are the context's.
func (a *Attempt) Admit(ctx context.Context, prefer func() string) error {
	if a == nil {
		return nil
	}
	a.guard.awaitList(ctx)
	if !a.guard.table.mayContain(&a.content) {
		a.forget()
		return nil
	}
	err := a.takeTurn(ctx, prefer)
	if err != nil {
		a.awaitEndKnown()
		a.forget()
	}
	return err
}

// takeTurn is Admit for a content that may be suspected.
func (a *Attempt) takeTurn(ctx context.Context, prefer func() string) error {
	began := time.Now()
	for {
		now := time.Now()
		known, isSuspect, changed := a.guard.table.standing(a.Digest(), now)
		a.generation = known.generation
		switch {
		case !isSuspect:
			a.forget()
			return nil
		case known.ends >= Limit:
			return ErrLimitReached
		case a.reserved == nil || now.After(a.reserved.until):
			a.forget()
			a.reserve(ctx, prefer)
		case known.first == a.reserved.key:
			a.guard.Metrics.waits.Observe(time.Since(began).Seconds())
			return nil
		}
		if a.isStoreOut(now) && known.first == "" {
			if known.ends <= unconfirmedLimit {
				a.sendUnconfirmed()
				return nil
			}
			if now.Sub(began) > outageWait {
				return ErrUnconfirmed
			}
		}
		if err := a.awaitChange(ctx, changed); err != nil {
			return err
		}
	}
}

// reserve reserves a send, unless another request of this daemon reserves the same content.
func (a *Attempt) reserve(ctx context.Context, prefer func() string) {
	if !a.guard.claim(a) {
		return
	}
	send := a.newReservation(ctx, prefer())
	a.reserved.write = a.guard.store(a.reserved.key, send)
}

// newReservation creates a reservation that holds until ctx ends, and returns it as a send to be
// stored.
func (a *Attempt) newReservation(ctx context.Context, instance string) Send {
	now := time.Now()
	hold := maxHold
	if deadline, limited := ctx.Deadline(); limited {
		hold = min(max(deadline.Sub(now), 0), maxHold)
	}
	a.reserved = &reservation{key: newSendKey(a.Digest(), rand.Uint64()), instance: instance, at: now, until: now.Add(hold)}
	send := a.newSend(StateReserved, instance)
	send.HoldMS = hold.Milliseconds()
	return send
}

func (a *Attempt) newSend(state State, instance string) Send {
	return Send{
		State: state, Daemon: a.guard.Self, Instance: instance, About: a.about, AtMS: time.Now().UnixMilli(), Generation: a.generation,
	}
}

// isStoreOut reports whether the store has refused the reservation or is late with it.
func (a *Attempt) isStoreOut(now time.Time) bool {
	if a.reserved == nil || a.isReservationLogged() {
		return false
	}
	return isClosed(a.reserved.write.failed) || now.Sub(a.reserved.at) >= confirmTimeout
}

func (a *Attempt) isReservationLogged() bool { return a.guard.table.isLogged(a.reserved.key) }

// sendUnconfirmed lets the content be sent although the store has not taken the reservation.
func (a *Attempt) sendUnconfirmed() {
	if a.reserved.isUnconfirmed {
		return
	}
	a.reserved.isUnconfirmed = true
	a.awaitEndKnown()
	a.guard.Metrics.unconfirmed.Inc()
	a.guard.Logger.Warn().Str("content", string(a.Digest())).Str("request", a.about.Request).
		Msg("Suspected content sent once more. The store does not take the reservation.")
}

// awaitChange waits until the table has changed, or something else may have.
func (a *Attempt) awaitChange(ctx context.Context, changed <-chan struct{}) error {
	var failed <-chan struct{}
	if a.reserved != nil && !isClosed(a.reserved.write.failed) {
		failed = a.reserved.write.failed
	}
	timer := time.NewTimer(a.nextCheck())
	defer timer.Stop()
	select {
	case <-changed:
	case <-failed:
	case <-timer.C:
		a.refreshIfUnread()
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && a.isStoreOut(time.Now()) {
			return ErrUnconfirmed
		}
		return ctx.Err()
	}
	return nil
}

// nextCheck returns how long awaitChange waits without a change.
func (a *Attempt) nextCheck() time.Duration {
	switch {
	case a.reserved == nil || a.isReservationLogged() || isClosed(a.reserved.write.failed):
		return recheckInterval
	case isClosed(a.reserved.write.taken):
		return refreshAfter
	}
	return min(max(time.Until(a.reserved.at.Add(confirmTimeout)), refreshAfter), recheckInterval)
}

// refreshIfUnread reads the store if it has taken the reservation and the watch does not show that.
func (a *Attempt) refreshIfUnread() {
	if a.reserved == nil || a.isReservationLogged() || !isClosed(a.reserved.write.taken) {
		return
	}
	select {
	case a.guard.refresh <- struct{}{}:
	default: // a read is requested already
	}
}

// Avoid returns the back ends to which the content should not be sent if there are others: they run
// other suspected contents.
func (a *Attempt) Avoid() []string {
	if a == nil || a.reserved == nil {
		return nil
	}
	return a.guard.table.occupied(a.reserved.key, time.Now())
}

// IsSuspect reports whether the content is sent under a reservation.
func (a *Attempt) IsSuspect() bool { return a != nil && a.reserved != nil }

// Ended records that the back end to which the content was sent ended while it ran it. If the request
// may be sent again, prefer returns the back end that it will probably be sent to; otherwise it is nil,
// and Ended returns once the store has the end, or, if that takes long, other daemons were told.
func (a *Attempt) Ended(ctx context.Context, instance string, prefer func() string) {
	if a == nil {
		return
	}
	a.guard.Metrics.ends.Inc()
	key := endKey(a.Digest(), instance)
	if a.reserved != nil {
		key = a.reserved.key // the reservation becomes the end
	}
	a.reserved = nil
	a.ended = &endedSend{key: key, send: a.newSend(StateEnded, instance)}
	a.guard.table.put(key, a.ended.send, notLogged, time.Now())
	known, _, _ := a.guard.table.standing(a.Digest(), time.Now())
	a.guard.Logger.Warn().Str("content", string(a.Digest())).Str("request", a.about.Request).Str("route", a.about.Route).
		Str("instance", instance).Int("ends", known.ends).Msg("Back end ended under a request.")
	if prefer == nil || known.ends >= Limit || !a.guard.claim(a) {
		a.ended.write = a.guard.store(key, a.ended.send)
		a.awaitEndKnown()
		return
	}
	a.storeEndAndReserve(ctx, prefer())
}

// storeEndAndReserve stores the latest end and a reservation for the next send together.
func (a *Attempt) storeEndAndReserve(ctx context.Context, instance string) {
	next := a.newReservation(ctx, instance)
	record, err := next.record(a.reserved.key)
	if err != nil {
		a.guard.logUnencodable(a.reserved.key, err)
	}
	a.ended.write = a.guard.store(a.ended.key, a.ended.send, record)
	a.reserved.write = a.ended.write
}

// awaitEndKnown waits until the store has the latest end and other daemons have read it. If that takes
// long, it tells them.
func (a *Attempt) awaitEndKnown() {
	if a.ended == nil || a.ended.isKnown {
		return
	}
	a.ended.isKnown = true
	if a.guard.storeOrTell(a.ended.write, a.ended.key, a.ended.send) {
		time.Sleep(spreadTime(a.guard.View))
	}
}

// Whole records that a back end answered the request completely: the content is not suspected any
// more. The body is not needed from then on.
func (a *Attempt) Whole() {
	if a == nil {
		return
	}
	defer func() { a.content.Body = nil }()
	if !a.guard.table.mayContain(&a.content) {
		return
	}
	known, isSuspect, _ := a.guard.table.standing(a.Digest(), time.Now())
	a.forget()
	if !isSuspect {
		return
	}
	a.generation = known.generation + 1
	a.storeAnswer()
	a.guard.Metrics.cleared.Inc()
	a.guard.Logger.Info().Str("content", string(a.Digest())).Str("request", a.about.Request).
		Msg("Content is not suspected any more. A back end answered it.")
}

// storeAnswer stores that a back end answered, and deletes the sends that do not count any more.
func (a *Attempt) storeAnswer() {
	key, answered := answeredKey(a.Digest(), a.generation), a.newSend(StateAnswered, "")
	voided := slices.DeleteFunc(a.guard.table.keysOf(a.Digest()), func(other sendKey) bool { return other == key })
	a.guard.table.put(key, answered, notLogged, time.Now())
	a.guard.table.drop(voided...)
	stored := a.guard.store(key, answered, deletions(voided)...)
	go a.guard.storeOrTell(stored, key, answered)
}

// Detached returns an Attempt at the same content for what becomes known of the latest send after the
// request has ended. The request's reservation stays with the request.
func (a *Attempt) Detached() *Attempt {
	if a == nil {
		return nil
	}
	return &Attempt{guard: a.guard, about: a.about, content: a.content, digest: a.digest, generation: a.generation}
}

// Close releases what the request has reserved.
func (a *Attempt) Close() {
	if a != nil {
		a.forget()
	}
}

// forget releases the reservation, if there is one, and lets other requests of this daemon reserve the
// content.
func (a *Attempt) forget() {
	if a.reserved != nil {
		a.guard.release(a.reserved.key)
		a.reserved = nil
	}
	if a.digest != "" {
		a.guard.unclaim(a)
	}
}

// claim makes a the request of this daemon that reserves sends of its content; false if there is
// another one.
func (g *Guard) claim(a *Attempt) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if other := g.reserving[a.Digest()]; other != nil && other != a {
		return false
	}
	g.reserving[a.Digest()] = a
	return true
}

// unclaim undoes claim.
func (g *Guard) unclaim(a *Attempt) {
	g.mutex.Lock()
	isOwn := g.reserving[a.digest] == a
	if isOwn {
		delete(g.reserving, a.digest)
	}
	g.mutex.Unlock()
	if isOwn {
		g.table.wake()
	}
}

// store queues a send to be stored, in one append with further records.
func (g *Guard) store(key sendKey, send Send, further ...store.Record) *write {
	record, err := send.record(key)
	if err != nil {
		g.logUnencodable(key, err)
		return g.writer.append(further...)
	}
	return g.writer.append(append([]store.Record{record}, further...)...)
}

// storeOrTell waits until the store has taken a send. If that takes long, it tells other daemons and
// returns false.
func (g *Guard) storeOrTell(stored *write, key sendKey, send Send) bool {
	timer := time.NewTimer(tellAfter)
	defer timer.Stop()
	select {
	case <-stored.taken:
		return true
	case <-stored.failed:
	case <-timer.C:
	}
	g.tell(key, send)
	return false
}

func (g *Guard) logUnencodable(key sendKey, err error) {
	g.Logger.Error().Err(err).Str("key", string(key)).Msg("Send of a suspected content not stored.")
}
