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

// streamState is what was passed on of a stream so far.
type streamState struct {
	turn *turnState
	// prompt is the text that an instance gets: a turn's history and its input.
	prompt []byte
	// hasHead: the caller has the head of the answer.
	hasHead bool
	// firstAfter is how long the caller waited for the first event.
	firstAfter time.Duration
	// servedAfter is how long after the latest offer its first event came.
	servedAfter time.Duration
	// lastID is the last event that the caller has.
	lastID string
	events int64
	output []byte
	// instance ran the stream to its end, "" while none did.
	instance string
}

// carryStream carries a request that is answered by a stream of events. Events
// are passed on whole as they come; a stream that breaks is taken up behind
// the last one, if its route allows that.
func (c *carrier) carryStream(ctx context.Context) {
	state := &streamState{lastID: c.call.ResumeAfter, prompt: c.call.Body}
	c.stream = state
	if c.isTurn() {
		turn, ok := c.beginTurn(ctx)
		if !ok {
			return
		}
		state.turn = turn
		state.prompt = slices.Concat(turn.History, c.call.Body)
		turn.History = nil // it is held once
	}
	c.preferred = c.sessionInstance(state.turn)
	for c.runStream(ctx, state) {
		c.relay.Metrics.resumed()
	}
}

// sessionInstance returns the instance that has most of the prompt in its
// cache, "" if that is not known. The program's record knows it also after the
// session came from another daemon, or all were killed.
func (c *carrier) sessionInstance(turn *turnState) string {
	if turn != nil && turn.Instance != "" {
		return turn.Instance
	}
	return c.relay.sessions.find(c.call.Program)
}

// runStream runs the stream once. It returns true when the stream broke and
// may be taken up.
func (c *carrier) runStream(ctx context.Context, state *streamState) bool {
	answer, target := c.offerStream(ctx, state)
	if answer == nil {
		return false
	}
	if answer.Status != statusOK {
		c.passFailure(ctx, answer, target, state)
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	err := c.passEvents(answer, target, state)
	if errors.Is(err, io.EOF) {
		_ = answer.Body.Close() // the connection serves others while the record is waited for
		c.release(target, instance.OutcomeAnswered)
		c.relay.sessions.note(c.call.Program, target.ID)
		c.relay.serving.note(c.call.Route.Name, servingTime{first: state.servedAfter, whole: time.Since(c.latest.beganAt)})
		state.instance = target.ID
		state.prompt = nil // it is sent no more, and the record may be waited for
		c.endStream(ctx, answer, target, state)
		return false
	}
	if errors.Is(err, errCallerLeft) || ctx.Err() != nil {
		c.release(target, c.outcomeOfGivingUp())
		c.breakOff(ctx, state, CauseWriteFailed)
		return false
	}
	return c.takeUp(target, state, err)
}

func (c *carrier) offerStream(ctx context.Context, state *streamState) (*Answer, instance.Instance) {
	return c.offer(ctx, OutgoingCall{
		Call:        c.call,
		Body:        state.prompt,
		Deadline:    c.call.Deadline,
		ResumeAfter: state.lastID,
		Urgency:     c.urgency(state.turn),
	})
}

// passFailure passes an answer on that is no stream.
func (c *carrier) passFailure(ctx context.Context, answer *Answer, target instance.Instance, state *streamState) {
	body, err := readWhole(answer.Body)
	switch {
	case err == nil:
		c.release(target, instance.OutcomeAnswered)
	case ctx.Err() != nil: // the caller left, or the daemon stops
		c.release(target, c.outcomeOfGivingUp())
	default:
		c.fail(target)
	}
	switch {
	case state.hasHead:
		c.breakOff(ctx, state, CauseBackEndFailed)
	case err != nil:
		c.refuseFor(brokenOff, causeOf(ctx, CauseBackEndBroke))
	default:
		c.answerOrBreak(answer, body, target)
	}
}

var errCallerLeft = errors.New("relay: the caller left")

// passEvents passes events on until the stream ends; io.EOF means that it is
// complete.
func (c *carrier) passEvents(answer *Answer, target instance.Instance, state *streamState) error {
	reader := eventstream.NewReader(answer.Body, eventLimit)
	for passed := 0; ; passed++ {
		event, err := reader.Next()
		if err != nil {
			return err
		}
		if passed > 0 {
			c.relay.Pool.RecordLatency(target.ID, c.call.Route.Name, time.Since(c.latest.heardAt))
		} else {
			state.servedAfter = time.Since(c.latest.beganAt)
		}
		c.latest.heardAt = time.Now()
		c.relay.monitor.noteProgress(c.latest.watched, c.latest.heardAt)
		if !state.hasHead {
			c.responder.Head(answer.Status, answer.Header)
			state.hasHead = true
			state.firstAfter = time.Since(c.call.Received)
			c.relay.Metrics.firstEvent(c.call)
		}
		state.note(event)
		if err := c.responder.Event(event.Raw); err != nil {
			return errCallerLeft
		}
		c.relay.monitor.restartWait(c.latest.watched)
	}
}

func (s *streamState) note(event eventstream.Event) {
	s.events++
	if event.ID != "" {
		s.lastID = event.ID
	}
	if s.turn != nil && s.turn.retain {
		s.output = append(s.output, event.Data...)
		s.output = append(s.output, '\n')
	}
}

// takeUp tells whether a stream that broke may be taken up; if not, the call
// is ended.
func (c *carrier) takeUp(target instance.Instance, state *streamState, err error) bool {
	c.fail(target)
	c.logger.Info().Str("instance", target.ID).Int64("events", state.events).Int("runs", c.runs).Err(err).Msg("Stream broke off.")
	if c.call.Route.Resumable && c.runs < streamRuns && c.hasTime() {
		c.excluded = append(c.excluded[:0], target.ID)
		c.bind()
		return true
	}
	if state.hasHead {
		c.responder.abort(c.causeOfBreak())
		return false
	}
	c.refuse(brokenOff)
	return false
}

// causeOfBreak is why the latest offer broke off.
func (c *carrier) causeOfBreak() Cause {
	if c.wasGivenUp() {
		return CauseBackEndGivenUp
	}
	return CauseBackEndBroke
}

// breakOff ends a stream that can not be completed, for a cause unless its context ended.
func (c *carrier) breakOff(ctx context.Context, state *streamState, cause Cause) {
	if state.hasHead {
		c.responder.abort(causeOf(ctx, cause))
		return
	}
	c.refuseLate(ctx)
}

// endStream ends a complete stream, once its turn is on record.
func (c *carrier) endStream(ctx context.Context, answer *Answer, target instance.Instance, state *streamState) {
	if !state.hasHead {
		c.responder.Head(answer.Status, answer.Header)
		state.hasHead = true
	}
	if state.turn != nil {
		if err := c.settle(ctx, state, true); err != nil {
			c.responder.abort(state.turn.unrecordedFor)
			return
		}
	}
	c.relay.Metrics.answered(c.call, answer.Status)
	c.noteForecast(heldUpServed)
	c.logAnswered("Stream ended.", target, answer.Status, state)
	c.responder.End()
}

var _ Ledger = (*ledger.Service)(nil)
