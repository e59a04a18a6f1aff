package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/eventstream"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/ledger"
)

const statusOK = http.StatusOK

// streamState is the progress of a stream.
type streamState struct {
	turn *turnState
	// prompt is the body that an instance gets: for a turn, its history and its input.
	prompt []byte
	// hasHead is set once the head of the answer was sent to the caller.
	hasHead bool
	// firstEventAfter is the time from receiving the request to the first event.
	firstEventAfter time.Duration
	// firstEventLatency is the time from the latest offer to its first event.
	firstEventLatency time.Duration
	// lastID is the ID of the last event that the caller received.
	lastID string
	events int64
	output []byte
	// beganAt is the instance that sent the first event of this answer, nil before.
	beganAt *instance.Instance
	// instance is the one that completed the stream, "" while none has.
	instance string
}

// handleStream handles a request that is answered by a stream of events. Complete events
// are passed on as they arrive; a stream that breaks is resumed after the last of them, if
// its route allows that.
func (c *callHandler) handleStream(ctx context.Context) {
	state := &streamState{lastID: c.call.ResumeAfter, prompt: c.call.Body}
	c.stream = state
	c.chooseOrigin()
	if !c.beginStream(ctx, state) {
		return
	}
	c.preferred = c.sessionInstance(state.turn)
	for c.runStream(ctx, state) {
		c.relay.Metrics.resumed()
	}
}

// beginStream reserves the tokens of a turn, and learns or records the origin of a stream that
// may be resumed. If it returns false, the call was ended.
func (c *callHandler) beginStream(ctx context.Context, state *streamState) bool {
	if c.isTurn() {
		turn, ok := c.beginTurn(ctx)
		if !ok {
			return false
		}
		state.turn = turn
		if !c.call.Memory.Grow(len(turn.History) + len(c.call.Body)) {
			c.refuse(MemoryFullRefusal)
			return false
		}
		state.prompt = slices.Concat(turn.History, c.call.Body)
		turn.History = nil // the prompt contains it
		return !c.isResumption() || c.bindToOrigin(ctx, turn.Origin)
	}
	if !c.isResumption() {
		c.recordOriginLater()
		return true
	}
	origin, err := c.findOrigin(ctx)
	if err != nil && c.soleOrigin(ctx) == nil {
		c.logger.Warn().Err(err).Str("resumes", c.call.Resumes).Msg("Origin of a stream could not be looked up.")
		c.refuse(Refusal{Reason: ReasonLedgerUnavailable, RetryAfter: c.retryAfter(), Detail: "The stream's record can not be reached."})
		return false
	}
	return c.bindToOrigin(ctx, origin)
}

// sessionInstance returns the instance that has most of the prompt in its cache, "" if
// unknown. The program's record also knows it if another daemon served the session before.
func (c *callHandler) sessionInstance(turn *turnState) string {
	if turn != nil && turn.Instance != "" {
		return turn.Instance
	}
	return c.relay.sessions.find(c.call.Program)
}

// runStream offers the stream to an instance and forwards its events. It returns true if
// the stream broke and may be resumed.
func (c *callHandler) runStream(ctx context.Context, state *streamState) bool {
	answer, target := c.offerStream(ctx, state)
	if answer == nil {
		return false
	}
	if answer.Status != statusOK {
		c.forwardNonStream(ctx, answer, target, state)
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	if !c.confirmOrigin(ctx, target) {
		c.release(target, instance.OutcomeCanceled)
		c.noteCanceledRun(ctx, target)
		c.refuse(brokenOffRefusal)
		return false
	}
	c.noteResumption(target, state)
	err := c.forwardEvents(answer, target, state)
	if errors.Is(err, io.EOF) {
		_ = answer.Body.Close() // frees the connection while the turn is being stored
		c.release(target, instance.OutcomeAnswered)
		c.relay.sessions.note(c.call.Program, target.ID)
		c.relay.serving.observe(c.call.Route.Name, servingTime{untilFirst: state.firstEventLatency, total: time.Since(c.latest.beganAt)})
		state.instance = target.ID
		if state.turn != nil {
			c.call.Memory.Shrink(len(state.prompt))
		}
		state.prompt = nil // frees the memory while the turn is being stored
		c.endStream(ctx, answer, target, state)
		return false
	}
	if errors.Is(err, errCallerLeft) || ctx.Err() != nil {
		c.release(target, c.canceledOutcome())
		c.noteCanceledRun(ctx, target)
		c.breakOff(ctx, state, CauseWriteFailed)
		return false
	}
	return c.canResume(ctx, target, state, err)
}

func (c *callHandler) offerStream(ctx context.Context, state *streamState) (*Answer, instance.Instance) {
	return c.offer(ctx, OutgoingCall{
		Call:        c.call,
		Body:        state.prompt,
		Deadline:    c.call.Deadline,
		ResumeAfter: state.lastID,
		Urgency:     c.urgency(state.turn),
		ThisRunOnly: c.call.Route.Resumable || c.origin.isBound,
	})
}

// forwardNonStream passes on an answer that is not a stream.
func (c *callHandler) forwardNonStream(ctx context.Context, answer *Answer, target instance.Instance, state *streamState) {
	body, err := readWhole(answer.Body, c.call.Memory)
	if errors.Is(err, errAnswerLong) {
		_ = answer.Body.Close() // closes the connection
	}
	switch {
	case err == nil:
		c.release(target, instance.OutcomeAnswered)
	case ctx.Err() != nil: // the caller disconnected, or the daemon is shutting down
		c.release(target, c.canceledOutcome())
		c.noteCanceledRun(ctx, target)
	default:
		c.releaseFailed(target)
		c.noteBrokenRun(ctx, target)
	}
	switch {
	case state.hasHead:
		c.breakOff(ctx, state, CauseBackEndFailed)
	case err != nil:
		c.refuseWithCause(brokenOffRefusal, causeOf(ctx, CauseBackEndBroke))
	default:
		c.answerUnlessFalsePromise(answer, body, target)
	}
}

var errCallerLeft = errors.New("relay: the caller left")

// forwardEvents passes events on until the stream ends, and what stands between them. io.EOF means that the
// stream is complete.
func (c *callHandler) forwardEvents(answer *Answer, target instance.Instance, state *streamState) error {
	reader := eventstream.NewReader(answer.Body, maxEventBytes)
	for isFirst := true; ; {
		block, err := reader.Next()
		if err != nil {
			return err
		}
		if block.IsEvent {
			c.observeEvent(target, state, isFirst)
			isFirst = false
		}
		if !c.origin.isBound && (block.IsEvent || block.HasID) {
			c.origin.bind(target.Version)
		}
		c.noteHeard()
		if !state.hasHead {
			c.responder.Head(answer.Status, answer.Header)
			state.hasHead = true
		}
		if err := state.note(block); err != nil {
			return err
		}
		if err := c.responder.Event(block.Raw); err != nil {
			return errCallerLeft
		}
		c.relay.monitor.restartWait(c.latest.pending)
	}
}

// observeEvent records when an event arrived, and with the first one of the answer where the stream began. isFirst
// is set for the first event of the latest offer.
func (c *callHandler) observeEvent(target instance.Instance, state *streamState, isFirst bool) {
	if isFirst {
		state.firstEventLatency = time.Since(c.latest.beganAt)
	} else {
		c.relay.Pool.RecordLatency(target.ID, c.call.Route.Name, time.Since(c.latest.heardAt))
	}
	if state.beganAt == nil {
		state.beganAt = &target
		state.firstEventAfter = time.Since(c.call.Received)
		c.relay.Metrics.firstEvent(c.call)
	}
}

// noteHeard records that the instance of the latest offer sent something.
func (c *callHandler) noteHeard() {
	c.latest.heardAt = time.Now()
	c.relay.monitor.noteProgress(c.latest.pending, c.latest.heardAt)
}

// note records a block that is passed on next. It fails with errAnswerTooLong if the output exceeds
// maxOutputBytes.
func (s *streamState) note(block eventstream.Block) error {
	if block.HasID {
		s.lastID = block.ID
	}
	if !block.IsEvent {
		return nil
	}
	isKept := s.turn != nil && s.turn.retain
	if isKept && len(s.output)+len(block.Data) >= maxOutputBytes {
		return errAnswerTooLong
	}
	s.events++
	if isKept {
		s.output = append(s.output, block.Data...)
		s.output = append(s.output, '\n')
	}
	return nil
}

// isResumable reports whether a back end can be told where to go on.
func (s *streamState) isResumable() bool { return s.events == 0 || s.lastID != "" }

// canResume reports whether a stream that broke may be resumed. If not, the call is ended.
func (c *callHandler) canResume(ctx context.Context, target instance.Instance, state *streamState, err error) bool {
	c.releaseFailed(target)
	c.logger.Info().Str("instance", target.ID).Str("version", target.Version).Int64("events", state.events).Int("runs", c.runs).Err(err).Msg("Stream broke off.")
	c.noteBrokenRun(ctx, target)
	if c.call.Route.Resumable && state.isResumable() && c.runs < maxStreamRuns && c.hasTime() {
		c.excluded = append(c.excluded[:0], target.ID)
		c.bindToLastInstance()
		return true
	}
	if state.hasHead {
		c.responder.abort(c.causeOfBreak())
		return false
	}
	c.refuse(brokenOffRefusal)
	return false
}

// causeOfBreak returns why the latest offer broke off.
func (c *callHandler) causeOfBreak() Cause {
	if c.wasGivenUp() {
		return CauseBackEndGivenUp
	}
	return CauseBackEndBroke
}

// breakOff ends a stream that cannot be completed, for the given cause unless ctx ended.
func (c *callHandler) breakOff(ctx context.Context, state *streamState, cause Cause) {
	if state.hasHead {
		c.responder.abort(causeOf(ctx, cause))
		return
	}
	c.refuseEnded(ctx)
}

// endStream ends a complete stream, after its turn was stored.
func (c *callHandler) endStream(ctx context.Context, answer *Answer, target instance.Instance, state *streamState) {
	if !state.hasHead {
		c.responder.Head(answer.Status, answer.Header)
		state.hasHead = true
	}
	if state.turn != nil {
		if err := c.settle(ctx, state, true); err != nil {
			c.responder.abort(state.turn.unrecordedCause)
			return
		}
	}
	c.relay.Metrics.answered(c.call, answer.Status)
	c.countHeldUp(heldUpServed)
	c.logAnswered("Stream ended.", target, answer.Status, state)
	c.responder.End()
}

var _ Ledger = (*ledger.Service)(nil)
