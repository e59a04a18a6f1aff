package replication

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// progress is how far one member follows its leader.
type progress struct {
	leading *leading
	member  structs.DaemonID
	// match is the last index the member is known to hold, next the one to
	// send next, and round the last question of the leader that it answered.
	match structs.Index
	next  structs.Index
	round uint64
	// since is the leader's round when the member's stay began. Dismissals raise
	// the round, so answers to an earlier one are of a stay that ended: what the
	// member held then it has dropped.
	since uint64
	// sentRound is the last round sent, and unanswered counts messages since
	// the last answer.
	sentRound  uint64
	unanswered int
	// probing is set from a refusal or a silence until an answer shows where
	// the member's log agrees: one message at a time is sent, and refusals of
	// others that were under way are ignored.
	probing   bool
	probeFrom structs.Index
	// sentAt is when the oldest unanswered message was sent, and roundTrip the
	// smoothed time to an answer.
	sentAt    time.Time
	roundTrip time.Duration
	pause     time.Duration
	timer     clock.Timer
	// lagging is set while acknowledgements do not wait for the member;
	// heardAt is when it answered last.
	lagging  bool
	heardAt  time.Time
	transfer *outgoingSnapshot
	stopped  bool
	// pressure is the member's latest word about its memory.
	pressure   Pressure
	pressureAt time.Time
}

func newProgress(l *leading, member structs.DaemonID) *progress {
	return &progress{leading: l, member: member, next: l.log.last(), since: l.round, pause: l.Settings.RetryInterval, heardAt: l.Clock.Now()}
}

func (p *progress) stop() {
	p.stopped = true
	if p.timer != nil {
		p.timer.Stop()
	}
	p.endTransfer()
}

// settled tells whether the member has answered everything.
func (p *progress) settled() bool {
	return p.match == p.leading.log.last() && p.round == p.leading.round
}

// send sends what the member does not have, as far as the window allows.
// again repeats what was not answered.
func (p *progress) send(again bool) {
	l := p.leading
	if p.stopped {
		return
	}
	if p.transfer != nil {
		p.schedule()
		return
	}
	if again {
		p.sentRound = p.round
		p.probe(p.match + 1)
	}
	for p.unanswered < p.window() {
		if p.next <= l.log.base {
			p.startTransfer()
			break
		}
		if p.next > l.log.last() && p.sentRound == l.round && !(again && !p.settled()) {
			break
		}
		p.sendAppend()
		again = false
	}
	p.schedule()
}

// probe begins again at an index.
func (p *progress) probe(from structs.Index) {
	p.probing, p.probeFrom = true, from
	p.next, p.unanswered = from, 0
}

// window is how many messages may wait for their answer.
func (p *progress) window() int {
	if p.probing {
		return 1
	}
	return p.leading.Settings.MaxInFlightMessages
}

func (p *progress) sendAppend() {
	l := p.leading
	entries := l.log.from(p.next, l.Settings.AppendBytes)
	previousEpoch, _ := l.log.epochAt(p.next - 1)
	l.replica.send(p.member, &AppendRequest{
		Shard:         l.shard,
		Epoch:         l.epoch,
		Previous:      p.next - 1,
		PreviousEpoch: previousEpoch,
		Commit:        l.commit,
		Entries:       entries,
		Round:         l.round,
	})
	p.next += structs.Index(len(entries))
	p.sentRound = l.round
	if p.unanswered == 0 {
		p.sentAt = l.Clock.Now()
	}
	p.unanswered++
}

// schedule arms the timer that repeats unanswered messages.
func (p *progress) schedule() {
	if p.timer != nil || p.stopped || (p.settled() && p.transfer == nil) {
		return
	}
	l := p.leading
	p.timer = l.after(p.pause+l.jitter(p.pause/8), func() {
		p.timer = nil
		if p.stopped {
			return
		}
		p.pause = min(2*p.pause, l.Settings.MaxRetryInterval)
		if p.transfer != nil {
			p.transfer.repeat()
			p.schedule()
			return
		}
		p.send(true)
	})
}

// roundTripWeight is the share of a new measurement in the smoothed round trip.
const roundTripWeight = 8

// measure takes the time to an answer into the smoothed round trip.
func (p *progress) measure() {
	sample := p.leading.Clock.Now().Sub(p.sentAt)
	if p.roundTrip == 0 {
		p.roundTrip = sample
	}
	p.roundTrip += (sample - p.roundTrip) / roundTripWeight
}

// heard notes a sign of life: the next silence is measured anew.
func (p *progress) heard() {
	p.heardAt = p.leading.Clock.Now()
	p.pause = min(max(p.leading.Settings.RetryInterval, 2*p.roundTrip), p.leading.Settings.MaxRetryInterval)
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
}

// answered takes up the answer to an append.
func (p *progress) answered(m *AppendReply) {
	if m.Round < p.since {
		return
	}
	if p.unanswered == 1 {
		p.measure()
	}
	p.heard()
	p.pressure, p.pressureAt = m.Pressure, p.heardAt
	p.unanswered = max(0, p.unanswered-1)
	p.round = max(p.round, m.Round)
	if m.Refused {
		known := p.probing && m.Hint >= p.probeFrom
		if m.Hint > p.match && m.Hint <= p.next && !known {
			p.probe(m.Hint)
		}
		p.send(false)
		return
	}
	if p.probing && m.Match+1 >= p.probeFrom {
		p.probing = false
	}
	if m.Match > p.match && m.Match <= p.leading.log.last() {
		p.match = m.Match
		p.next = max(p.next, p.match+1)
	}
	if p.settled() {
		p.unanswered = 0
	}
	if p.lagging && p.match >= p.leading.commit {
		p.lagging = false
	}
	p.send(false)
}
