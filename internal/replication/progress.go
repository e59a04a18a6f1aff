package replication

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// progress tracks the replication to one member.
type progress struct {
	leader *leaderState
	member structs.DaemonID
	// match is the last index that the member is known to hold, next the index
	// to send next, and round the latest round that it answered.
	match structs.Index
	next  structs.Index
	round uint64
	// firstRound is the leader's round when the current membership began.
	// Dismissals raise the round, so a reply to an earlier one belongs to a
	// former membership, whose entries the member has dropped.
	firstRound uint64
	// sentRound is the last round sent, and inFlight counts unanswered
	// messages.
	sentRound uint64
	inFlight  int
	// probing is set from a refusal or a timeout until a reply shows where the
	// logs match: one message at a time is sent, and refusals of others that
	// were in flight are ignored.
	probing   bool
	probeFrom structs.Index
	// sentAt is when the oldest unanswered message was sent, and roundTrip the
	// smoothed round-trip time.
	sentAt     time.Time
	roundTrip  time.Duration
	retryDelay time.Duration
	timer      clock.Timer
	// lagging is set while acknowledgements do not wait for the member;
	// repliedAt is when it last replied.
	lagging   bool
	repliedAt time.Time
	transfer  *outgoingSnapshot
	stopped   bool
	// pressure is the memory pressure that the member last reported.
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

// isUpToDate reports whether the member holds the whole log and answered the
// latest round.
func (p *progress) isUpToDate() bool {
	return p.match == p.leader.log.last() && p.round == p.leader.round
}

// send sends the entries that the member lacks, as far as the window allows.
// again repeats unanswered messages.
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

// startProbe restarts sending at an index, one message at a time.
func (p *progress) startProbe(from structs.Index) {
	p.probing, p.probeFrom = true, from
	p.next, p.inFlight = from, 0
}

// window returns how many messages may be in flight.
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

// roundTripWeight is the divisor that gives the weight of a new sample in the
// smoothed round trip.
const roundTripWeight = 8

// updateRoundTrip adds a sample to the smoothed round trip.
func (p *progress) updateRoundTrip() {
	sample := p.leader.Clock.Now().Sub(p.sentAt)
	if p.roundTrip == 0 {
		p.roundTrip = sample
	}
	p.roundTrip += (sample - p.roundTrip) / roundTripWeight
}

// recordReply records a reply and resets the retry delay.
func (p *progress) recordReply() {
	p.repliedAt = p.leader.Clock.Now()
	p.retryDelay = min(max(p.leader.Settings.RetryInterval, 2*p.roundTrip), p.leader.Settings.MaxRetryInterval)
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
}

// handleReply handles the reply to an append request.
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
