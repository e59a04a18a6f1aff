package replication

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// acknowledge completes proposals that are committed and held by every
// reachable member. A member that delays a proposal for too long is marked as
// lagging, and is not waited for until it has caught up.
func (l *leaderState) acknowledge() {
	reached := l.commit
	for _, member := range l.log.group {
		if l.Guards.CommitAlone || !l.alive(member) || l.isLagging(member) {
			continue
		}
		reached = min(reached, l.matchOf(member))
	}
	for len(l.proposals) > 0 && l.proposals[0].index <= reached {
		done := l.proposals[0].done
		l.proposals = l.proposals[1:]
		l.queue.Do(func() { done(nil) })
	}
	l.scheduleOverdueCheck()
}

func (l *leaderState) isLagging(member structs.DaemonID) bool {
	p := l.progress[member]
	return p != nil && p.lagging
}

// scheduleOverdueCheck limits the wait of the oldest proposal or confirmation.
func (l *leaderState) scheduleOverdueCheck() {
	if l.ackTimer != nil || l.ended {
		return
	}
	at, waiting := l.oldestPending()
	if !waiting {
		return
	}
	wait := at.Add(l.Settings.AcknowledgeTimeout).Sub(l.Clock.Now())
	if wait <= 0 {
		wait = l.Settings.AcknowledgeTimeout
	}
	l.ackTimer = l.after(wait, func() {
		l.ackTimer = nil
		if !l.ended {
			l.handleOverdue()
		}
	})
}

func (l *leaderState) oldestPending() (time.Time, bool) {
	var at time.Time
	if len(l.proposals) > 0 {
		at = l.proposals[0].at
	}
	if len(l.confirmations) > 0 && (at.IsZero() || l.confirmations[0].at.Before(at)) {
		at = l.confirmations[0].at
	}
	return at, !at.IsZero()
}

// handleOverdue marks the members that delay the oldest proposal as lagging,
// and steps down when no majority answered for too long.
func (l *leaderState) handleOverdue() {
	at, waiting := l.oldestPending()
	if !waiting {
		return
	}
	age := l.Clock.Now().Sub(at)
	if age >= l.Settings.StepDownAfter {
		l.logger.Warn().Dur("age", age).Msg("Stepped down. No majority answered.")
		l.stepDown()
		return
	}
	if age >= l.Settings.AcknowledgeTimeout && len(l.proposals) > 0 {
		l.markLagging(l.proposals[0].index)
	}
	l.acknowledge()
}

func (l *leaderState) markLagging(index structs.Index) {
	for _, id := range l.followers() {
		p := l.progress[id]
		if p.match < index && !p.lagging {
			p.lagging = true
		}
	}
}
