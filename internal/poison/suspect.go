package poison

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// holdMargin is added to the time that a reservation holds, as other daemons hear of it later
	// than its holder.
	holdMargin = 2 * time.Second
	// sameEndWindow is for how long the end of a back end is told by several sends: a request may
	// still be sent on a connection whose end has not arrived yet.
	sameEndWindow = 250 * time.Millisecond
	// maxClockSkew is by how much the clock of another daemon may be ahead, and usualClockSkew by how much
	// two clocks differ as long as nothing is wrong with them.
	maxClockSkew   = time.Minute
	usualClockSkew = 500 * time.Millisecond
	// notLogged is the offset of a send that was not read from the store yet.
	notLogged = math.MaxInt64
	// suspectLifetime is how long a content stays suspected after the last back end ended under
	// it: longer than callers and programs retry. refusalLifetime is the same for one that is
	// refused.
	suspectLifetime = 10 * time.Minute
	refusalLifetime = 24 * time.Hour
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
	// behind is the reservation whose turn it was when the holder of this one was gone, so that this one's
	// turn never came; "" if that is not known.
	behind sendKey
}

// mayBeSent reports whether the holder of a reservation may still begin to send the content.
func (k *knownSend) mayBeSent(now time.Time) bool { return now.Sub(k.heardAt) <= k.hold() }

// isOver reports whether a reservation holds no more.
func (k *knownSend) isOver(now time.Time) bool {
	return now.Sub(k.heardAt) > k.hold()+holdMargin
}

// blocksUntil returns the time of day until which a reservation that is first keeps later ones from being sent,
// by its record: this daemon may have heard of it late.
func (k *knownSend) blocksUntil() time.Time {
	return k.changedAt().Add(k.hold() + holdMargin - usualClockSkew)
}

// suspect is a content under which a back end has ended.
type suspect struct {
	// sends holds the latest state of all sends. Those of an earlier generation do not count.
	sends      map[sendKey]*knownSend
	generation int64
	// isRefused is set once this daemon has refused the content.
	isRefused bool
	fleet     knownRuns
}

// counts reports whether a send counts.
func (s *suspect) counts(send *knownSend) bool { return send.Generation >= s.generation }

// first returns the key of the reservation whose turn it is, "" if there is none: the earliest in
// the store's log that still holds and may be sent.
func (s *suspect) first(now time.Time) sendKey {
	first, offset := sendKey(""), int64(notLogged)
	for key, send := range s.sends {
		if s.isOpen(send) && send.behind == "" && send.offset < offset && !send.isOver(now) {
			first, offset = key, send.offset
		}
	}
	if first == "" {
		return ""
	}
	if s.sends[first].mayBeSent(now) {
		s.sends[first].wasFirst = true
	}
	s.noteNeverSent(first, now)
	return first
}

// noteEarlierTurns notes the reservations whose turn may have come before this daemon heard of them: by the
// times of day in the records, none that precedes it in the log held any more.
func (s *suspect) noteEarlierTurns(now time.Time) {
	var blockedUntil time.Time
	for _, send := range s.openInOrder() {
		reservedAt := send.changedAt()
		turnAt := latest(reservedAt, blockedUntil)
		if !turnAt.After(now) && !turnAt.After(reservedAt.Add(send.hold())) {
			send.wasFirst = true
		}
		blockedUntil = latest(blockedUntil, send.blocksUntil())
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// openInOrder returns the reservations that may be sent, in the order of the log.
func (s *suspect) openInOrder() []*knownSend {
	var open []*knownSend
	for _, send := range s.sends {
		if s.isOpen(send) && send.behind == "" && send.offset != notLogged {
			open = append(open, send)
		}
	}
	slices.SortFunc(open, func(a, b *knownSend) int { return cmp.Compare(a.offset, b.offset) })
	return open
}

// isOpen reports whether a send is a reservation that counts.
func (s *suspect) isOpen(send *knownSend) bool { return send.State == StateReserved && s.counts(send) }

// noteNeverSent notes the reservations behind the first one whose holders are gone while its turn lasts:
// their own turn never came.
func (s *suspect) noteNeverSent(first sendKey, now time.Time) {
	holder := s.sends[first]
	if now.After(holder.blocksUntil()) {
		return
	}
	for _, send := range s.sends {
		isBehind := s.isOpen(send) && !send.wasFirst && send.offset != notLogged && send.offset > holder.offset
		if isBehind && send.behind == "" && s.fleet.isDaemonReplaced(send.Daemon) {
			send.behind = first
		}
	}
}

// neverSentBehind returns the reservations whose turn never came because of a reservation.
func (s *suspect) neverSentBehind(first sendKey) []sendKey {
	var never []sendKey
	for key, send := range s.sends {
		if send.behind == first {
			never = append(never, key)
		}
	}
	return never
}

// noteResolved forgets what was concluded from a reservation that has become something else: its turn may
// have been over before this daemon heard of it.
func (s *suspect) noteResolved(first sendKey) {
	for _, send := range s.sends {
		if send.behind == first {
			send.behind = ""
		}
	}
}

// ends returns how many back ends have ended under the content: those that a daemon saw, and those
// that are presumed to have.
func (s *suspect) ends(now time.Time) int { return s.seenEnds() + s.presumedEnds(now) }

// presumedEnds counts the reservations whose holder is gone, so that nobody tells what became of the
// back end, unless that is known to run.
func (s *suspect) presumedEnds(now time.Time) int {
	presumed := 0
	for _, send := range s.sends {
		isPresumed := s.isOpen(send) && send.wasFirst && send.isOver(now)
		if isPresumed && send.Instance != "" && !s.fleet.isRunning(send.Instance) {
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

// lifetime returns for how long a content is kept after the last change. Ends that are only presumed
// do not keep it for longer.
func (s *suspect) lifetime() time.Duration {
	if s.seenEnds() >= Limit {
		return refusalLifetime
	}
	return suspectLifetime
}
