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

// Submission is one call that a caller of this daemon waits for. Its state is accessed
// on its own queue only.
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
	// unresolvedCopies counts the copies sent that may have been accepted; wasAccepted
	// is set once any leader accepted the call.
	unresolvedCopies int
	wasAccepted      bool
	// unansweredQueries counts consecutive messages to the leader without an answer.
	unansweredQueries int
	// received is the number of answer bytes handed to the caller, receivedText the
	// part of them that came through this daemon.
	received     int64
	receivedText strings.Builder
	startedAt    time.Time
	// leaderlessSince is when the shard was first found without a leader, zero if it
	// has one.
	leaderlessSince time.Time
	timer           clock.Timer
	// lastHeardAt is when the leader was last heard from; keepAliveArmed is set while
	// the timer waits for KeepAliveInterval since then.
	lastHeardAt    time.Time
	keepAliveArmed bool
	done           bool
}

// maxUnansweredQueries is how many consecutive messages may go unanswered before the
// leader is treated as lost.
const maxUnansweredQueries = 3

// Cancel stops the call and ends the submission.
func (s *Submission) Cancel() { s.detach(true) }

// Detach ends the submission but lets the call run on for a while, so that the caller
// may resume it at any daemon.
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

// schedule replaces the submission's timer.
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

// route sends the call to the shard's leader.
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

// delivered returns the beginning of the answer if all of it came through this daemon.
func (s *Submission) delivered() string {
	if s.call.ResumeAt > 0 {
		return ""
	}
	return s.receivedText.String()
}

// waitForLeader retries until the shard has a leader, within LeaderTimeout and the
// deadline. A call that was certainly never accepted is then refused as not run.
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

// deadlinePassed reports whether the deadline passed while the call waited here. A
// call that was submitted after its deadline is a query for its outcome and keeps
// waiting.
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

// answerTimedOut retries after a leader did not answer in time.
func (s *Submission) answerTimedOut() {
	s.unansweredQueries++
	route := s.submitter.router.Route(s.shard)
	routeChanged := route.Leader != s.leader || route.Epoch != s.epoch
	if routeChanged || s.unansweredQueries > maxUnansweredQueries || !s.submitter.router.Alive(s.leader) {
		s.unansweredQueries = 0
		if !routeChanged {
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

// queryLeader checks that the leader still has an accepted call.
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

// leaderHeard records a message from the leader and arms the keep-alive timer.
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

// armKeepAlive starts the keep-alive timer. One timer serves many messages: when it
// fires it checks the time of the last one.
func (s *Submission) armKeepAlive(pause time.Duration) {
	s.schedule(pause, s.keepAliveDue)
	s.keepAliveArmed = true
}

// keepAliveDue queries a leader that was silent for KeepAliveInterval.
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

// notKnown sends the call again to a leader that does not have it.
func (s *Submission) notKnown(from structs.DaemonID) {
	if from == s.leader {
		s.route()
	}
}

// redirected follows a change of leader. A copy that was redirected was not accepted.
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

// answer passes on the parts of the answer that the caller does not have yet. After a
// gap it asks the leader for the missing part.
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

// settled passes on the outcome. A part of a completed answer that was lost on the way
// is delivered first, from the outcome.
func (s *Submission) settled(from structs.DaemonID, message *dispatch.Settled) {
	outcome := message.Outcome
	if outcome.Status == structs.OutcomeNotRun && from != s.leader {
		// A former leader refused an old copy; the current one decides.
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
