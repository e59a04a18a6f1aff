package replication

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// progress is how far one member follows its leader.
type progress struct {
	leader *leaderState
	member structs.DaemonID
	// match is the last index the member is known to hold, next the one to
	// send next, and round the last question of the leader that it answered.
	match structs.Index
	next  structs.Index
	round uint64
	// since is the leader's round when the member's stay began. Dismissals raise
	// the round, so answers to an earlier one are of a stay that ended: what the
	// member held then it has dropped.
	firstRound uint64
	// sentRound is the last round sent, and unanswered counts messages since
	// the last answer.
	sentRound uint64
	inFlight  int
	// probing is set from a refusal or a silence until an answer shows where
	// the member's log agrees: one message at a time is sent, and refusals of
	// others that were under way are ignored.
	probing   bool
	probeFrom structs.Index
	// sentAt is when the oldest unanswered message was sent, and roundTrip the
	// smoothed time to an answer.
	sentAt     time.Time
	roundTrip  time.Duration
	retryDelay time.Duration
	timer      clock.Timer
	// lagging is set while acknowledgements do not wait for the member;
	// heardAt is when it answered last.
	lagging   bool
	repliedAt time.Time
	transfer  *outgoingSnapshot
	stopped   bool
	// pressure is the member's latest word about its memory.
	pressure   Pressure
	pressureAt time.Time
}

func newProgress(l *leaderState, member structs.DaemonID) *progress {
	return &progress{leader: l, member: member, next: l.log.last(), firstRound: l.round, retryDelay: l.Settings.RetryInterval, repliedAt: l.Clock.Now()}
}

func (p *progress) stop() {
	p.stopped = true
	if p.timer != nil {
		p.timer.Stop()
	}
	p.endTransfer()
}

// settled tells whether the member has answered everything.
func (p *progress) isUpToDate() bool {
	return p.match == p.leader.log.last() && p.round == p.leader.round
}

// send sends what the member does not have, as far as the window allows.
// again repeats what was not answered.
func (p *progress) send(again bool) {
	l := p.leader
	if p.stopped {
		return
	}
	if p.transfer != nil {
		p.schedule()
		return
	}
	if again {
		p.sentRound = p.round
		p.startProbe(p.match + 1)
	}
	for p.inFlight < p.window() {
		if p.next <= l.log.base {
			p.startTransfer()
			break
		}
		if p.next > l.log.last() && p.sentRound == l.round && !(again && !p.isUpToDate()) {
			break
		}
		p.sendAppendRequest()
		again = false
	}
	p.schedule()
}

// probe begins again at an index.
func (p *progress) startProbe(from structs.Index) {
	p.probing, p.probeFrom = true, from
	p.next, p.inFlight = from, 0
}

// window is how many messages may wait for their answer.
func (p *progress) window() int {
	if p.probing {
		return 1
	}
	return p.leader.Settings.MaxInFlightMessages
}

func (p *progress) sendAppendRequest() {
	l := p.leader
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
	if p.inFlight == 0 {
		p.sentAt = l.Clock.Now()
	}
	p.inFlight++
}

// schedule arms the timer that repeats unanswered messages.
func (p *progress) schedule() {
	if p.timer != nil || p.stopped || (p.isUpToDate() && p.transfer == nil) {
		return
	}
	l := p.leader
	p.timer = l.after(p.retryDelay+l.jitter(p.retryDelay/8), func() {
		p.timer = nil
		if p.stopped {
			return
		}
		p.retryDelay = min(2*p.retryDelay, l.Settings.MaxRetryInterval)
		if p.transfer != nil {
			p.transfer.sendChunk()
			p.schedule()
			return
		}
		p.send(true)
	})
}

// roundTripWeight is the share of a new measurement in the smoothed round trip.
const roundTripWeight = 8

// measure takes the time to an answer into the smoothed round trip.
func (p *progress) updateRoundTrip() {
	sample := p.leader.Clock.Now().Sub(p.sentAt)
	if p.roundTrip == 0 {
		p.roundTrip = sample
	}
	p.roundTrip += (sample - p.roundTrip) / roundTripWeight
}

// heard notes a sign of life: the next silence is measured anew.
func (p *progress) recordReply() {
	p.repliedAt = p.leader.Clock.Now()
	p.retryDelay = min(max(p.leader.Settings.RetryInterval, 2*p.roundTrip), p.leader.Settings.MaxRetryInterval)
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
}

// answered takes up the answer to an append.
func (p *progress) handleReply(m *AppendReply) {
	if m.Round < p.firstRound {
		return
	}
	if p.inFlight == 1 {
		p.updateRoundTrip()
	}
	p.recordReply()
	p.pressure, p.pressureAt = m.Pressure, p.repliedAt
	p.inFlight = max(0, p.inFlight-1)
	p.round = max(p.round, m.Round)
	if m.Refused {
		known := p.probing && m.Hint >= p.probeFrom
		if m.Hint > p.match && m.Hint <= p.next && !known {
			p.startProbe(m.Hint)
		}
		p.send(false)
		return
	}
	if p.probing && m.Match+1 >= p.probeFrom {
		p.probing = false
	}
	if m.Match > p.match && m.Match <= p.leader.log.last() {
		p.match = m.Match
		p.next = max(p.next, p.match+1)
	}
	if p.isUpToDate() {
		p.inFlight = 0
	}
	if p.lagging && p.match >= p.leader.commit {
		p.lagging = false
	}
	p.send(false)
}
