package submit

import (
	"strings"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/serial"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Submission is one call that a caller of this daemon waits for. Its state is
// touched on its own queue only.
type Submission struct {
	submitter *Submitter
	id        dispatch.SubmissionID
	call      structs.Call
	caller    Caller
	shard     structs.ShardNumber
	queue     serial.Queue

	// leader and epoch are where the call was last sent.
	leader structs.DaemonID
	epoch  structs.Epoch
	// unanswered counts copies whose fate is not known; wasAccepted is set
	// once any leader took the call.
	unresolvedCopies int
	wasAccepted      bool
	// silent counts questions in a row without an answer.
	unansweredQueries int
	// received is the number of answer bytes handed to the caller, text what
	// of them came through this daemon.
	received     int64
	receivedText strings.Builder
	startedAt    time.Time
	// lostAt is when the shard was first found without a leader, zero if it has one.
	leaderlessSince time.Time
	timer           clock.Timer
	// heardAt is the leader's last sign of life; listening is set while the
	// timer waits for the next.
	lastHeardAt    time.Time
	keepAliveArmed bool
	done           bool
}

// silentLimit is how many unanswered questions make a leader look dead.
const maxUnansweredQueries = 3

// Cancel stops the call and ends the submission.
func (s *Submission) Cancel() { s.detach(true) }

// Detach ends the submission and lets the call go on for a while, for the
// caller to come back at any daemon.
func (s *Submission) Detach() { s.detach(false) }

func (s *Submission) detach(cancel bool) {
	s.queue.Do(func() {
		if s.done {
			return
		}
		if s.leader != "" {
			s.submitter.transport.Send(s.leader, &dispatch.Detach{
				Submission: s.id,
				Key:        s.call.Key,
				RequestID:  s.call.RequestID,
				Cancel:     cancel,
			})
		}
		s.close()
	})
}

func (s *Submission) close() {
	s.done = true
	s.stopTimer()
	s.submitter.forget(s.id)
}

func (s *Submission) stopTimer() {
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
}

func (s *Submission) schedule(d time.Duration, task func()) {
	s.stopTimer()
	s.keepAliveArmed = false
	var timer clock.Timer
	timer = s.submitter.clock.AfterFunc(d, func() {
		s.queue.Do(func() {
			if !s.done && s.timer == timer {
				task()
			}
		})
	})
	s.timer = timer
}

// route finds the shard's leader and sends the call there.
func (s *Submission) route() {
	if s.done {
		return
	}
	route := s.submitter.router.Route(s.shard)
	if route.Leader == "" {
		s.waitForLeader(route)
		return
	}
	s.sendTo(route)
}

func (s *Submission) sendTo(route replication.Route) {
	s.leader, s.epoch = route.Leader, route.Epoch
	call := s.call
	call.ResumeAt = s.received
	resent := s.wasAccepted || s.unresolvedCopies > 0
	s.unresolvedCopies++
	s.submitter.transport.Send(s.leader, &dispatch.Submit{
		Resent:     resent,
		Submission: s.id,
		Epoch:      s.epoch,
		Call:       call,
		Delivered:  s.delivered(),
	})
	s.schedule(s.submitter.settings.AnswerTimeout, s.answerTimedOut)
}

// delivered returns the answer's beginning if all of it came through here.
func (s *Submission) delivered() string {
	if s.call.ResumeAt > 0 {
		return ""
	}
	return s.receivedText.String()
}

// withoutLeader waits for the shard to get a leader, for as long as there is
// hope. A call that was certainly never taken is refused as not run.
func (s *Submission) waitForLeader(route replication.Route) {
	now := s.submitter.clock.Now()
	if s.leaderlessSince.IsZero() {
		s.leaderlessSince = now
	}
	settings := s.submitter.settings
	neverAccepted := !s.wasAccepted && s.unresolvedCopies == 0 && !s.call.Retry
	giveUp := (route.NoMajority && neverAccepted) || now.Sub(s.leaderlessSince) >= settings.LeaderTimeout
	if !giveUp && !s.deadlinePassed(now) {
		s.schedule(settings.RouteRetryInterval, s.route)
		return
	}
	retryAfter := settings.NoMajorityRetryAfter
	if !giveUp && !route.NoMajority {
		retryAfter = settings.LeaderRetryAfter
	}
	s.finish(s.unreachableOutcome(neverAccepted, retryAfter))
}

// deadlinePassed tells whether the caller's time ran out while it waited here.
// A caller that came after its deadline asks what became of the call, and that
// is worth waiting for.
func (s *Submission) deadlinePassed(now time.Time) bool {
	deadline := s.call.Deadline
	return !deadline.IsZero() && now.After(deadline) && s.startedAt.Before(deadline)
}

func (s *Submission) unreachableOutcome(neverAccepted bool, retryAfter time.Duration) structs.Outcome {
	const message = "The program's records cannot be reached by a majority of their holders."
	if neverAccepted {
		return structs.Refused(structs.ReasonNoMajority, "", message, retryAfter)
	}
	return structs.Outcome{
		Status:     structs.OutcomeUnknown,
		Reason:     structs.ReasonNoMajority,
		Message:    message + " Ask again with the same request identifier.",
		RetryAfter: retryAfter,
	}
}

// noAnswer acts on a leader that has not answered in time.
func (s *Submission) answerTimedOut() {
	s.unansweredQueries++
	route := s.submitter.router.Route(s.shard)
	moved := route.Leader != s.leader || route.Epoch != s.epoch
	if moved || s.unansweredQueries > maxUnansweredQueries || !s.submitter.router.Alive(s.leader) {
		s.unansweredQueries = 0
		if !moved {
			s.waitForLeader(replication.Route{})
			return
		}
		s.route()
		return
	}
	if s.wasAccepted {
		s.queryLeader()
		return
	}
	s.sendTo(route)
}

// ask makes sure that the leader still has an accepted call.
func (s *Submission) queryLeader() {
	s.submitter.transport.Send(s.leader, &dispatch.Attach{
		Submission: s.id,
		Epoch:      s.epoch,
		Key:        s.call.Key,
		RequestID:  s.call.RequestID,
		ResumeAt:   s.received,
		Retry:      s.call.Retry,
	})
	s.schedule(s.submitter.settings.AnswerTimeout, s.answerTimedOut)
}

// heard notes a sign of life from the leader and waits for the next.
func (s *Submission) leaderHeard(from structs.DaemonID) {
	s.leaderlessSince = time.Time{}
	if from != s.leader {
		return
	}
	s.unansweredQueries = 0
	s.lastHeardAt = s.submitter.clock.Now()
	if !s.keepAliveArmed {
		s.armKeepAlive(s.submitter.settings.KeepAliveInterval)
	}
}

// listen waits for a sign of life. One timer serves for many of them: it looks
// at the last when it fires.
func (s *Submission) armKeepAlive(pause time.Duration) {
	s.schedule(pause, s.keepAliveDue)
	s.keepAliveArmed = true
}

// leaderSilent asks a leader of which nothing was heard for a while.
func (s *Submission) keepAliveDue() {
	keepAlive := s.submitter.settings.KeepAliveInterval
	idle := s.submitter.clock.Now().Sub(s.lastHeardAt)
	if idle >= 0 && idle < keepAlive {
		s.armKeepAlive(keepAlive - idle)
		return
	}
	s.queryLeader()
}

func (s *Submission) accepted(from structs.DaemonID) {
	s.wasAccepted = true
	s.leaderHeard(from)
}

// notKnown sends the whole call again to a leader that does not have it.
func (s *Submission) notKnown(from structs.DaemonID) {
	if from == s.leader {
		s.route()
	}
}

// redirected follows the leadership. A copy that was redirected was not taken.
func (s *Submission) redirected(from structs.DaemonID, route replication.Route) {
	if s.unresolvedCopies > 0 {
		s.unresolvedCopies--
	}
	s.submitter.router.Learn(s.shard, route)
	if from != s.leader {
		return
	}
	next := s.submitter.router.Route(s.shard)
	if next.Leader == "" || (next.Leader == s.leader && next.Epoch == s.epoch) {
		s.waitForLeader(next)
		return
	}
	s.sendTo(next)
}

// answer hands on what the caller does not have yet. After a gap the leader is
// asked for the missing part.
func (s *Submission) answer(from structs.DaemonID, chunks []structs.Chunk) {
	s.wasAccepted = true
	fresh := make([]structs.Chunk, 0, len(chunks))
	for _, chunk := range chunks {
		end := chunk.Offset + int64(len(chunk.Text))
		if chunk.Offset > s.received {
			s.queryLeader()
			break
		}
		if s.submitter.Guards.SkipResume {
			fresh = append(fresh, chunk)
			s.received = max(end, s.received)
			continue
		}
		if end <= s.received {
			continue
		}
		text := chunk.Text[s.received-chunk.Offset:]
		fresh = append(fresh, structs.Chunk{Offset: s.received, Text: text})
		s.receivedText.WriteString(text)
		s.received = end
	}
	if len(fresh) > 0 {
		s.caller.Chunks(fresh)
		s.leaderHeard(from)
	}
}

// settled hands on the outcome. A completed answer must be whole: if a part
// was lost on the way it is asked for first.
func (s *Submission) settled(from structs.DaemonID, message *dispatch.Settled) {
	outcome := message.Outcome
	if outcome.Status == structs.OutcomeNotRun && from != s.leader {
		// A former leader refuses an old copy; the present one decides.
		s.unresolvedCopies = max(s.unresolvedCopies-1, 0)
		return
	}
	complete := s.received >= int64(len(outcome.Answer.Content))
	if outcome.Status == structs.OutcomeCompleted && !complete {
		s.answer(s.leader, []structs.Chunk{{Offset: s.received, Text: outcome.Answer.Content[s.received:]}})
	}
	s.finish(outcome)
}

func (s *Submission) finish(outcome structs.Outcome) {
	s.close()
	s.caller.Outcome(outcome)
}
