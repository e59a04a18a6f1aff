package relay

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/route"
)

const kindStream = route.KindStream

// errAnswerTooLong is returned if an answer exceeds maxAnswerBytes.
var errAnswerTooLong = eris.New("relay: the answer is too long")

// handlePlain handles a request whose answer is passed on as a whole, unless it is long: if an answer
// breaks off, the caller sees nothing of it, and a repeatable request runs again.
func (c *callHandler) handlePlain(ctx context.Context) {
	for {
		outgoing := OutgoingCall{Call: c.call, Body: c.call.Body, Deadline: c.call.Deadline, Urgency: defaultUrgency}
		answer, target := c.offer(ctx, outgoing)
		if answer == nil {
			return
		}
		body, err := readWhole(answer.Body, c.call.Memory)
		switch {
		case err == nil:
			c.recordServed(target)
			c.answerUnlessFalsePromise(answer, body, target)
			return
		case errors.Is(err, errAnswerLong):
			c.passOnUnlessFalsePromise(ctx, answer, body, target)
			return
		}
		if !c.canRetryBroken(ctx, target, err) {
			return
		}
	}
}

// recordServed records that an instance answered the call whole.
func (c *callHandler) recordServed(target instance.Instance) {
	took := time.Since(c.latest.beganAt)
	c.relay.Pool.RecordLatency(target.ID, c.call.Route.Name, took)
	c.relay.serving.observe(c.call.Route.Name, servingTime{untilFirst: took, total: took})
	c.release(target, instance.OutcomeAnswered)
}

func (c *callHandler) answer(answer *Answer, body []byte, target instance.Instance) {
	c.relay.Metrics.answered(c.call, answer.Status)
	c.countHeldUp(heldUpServed)
	c.logAnswered("Request answered.", target, answer.Status, nil)
	_ = c.responder.Answer(answer.Status, answer.Header, body) // the recorder notes a write error
}

// canRetryBroken handles an answer that broke off, and reports whether the request may run
// again. If not, the call was ended.
func (c *callHandler) canRetryBroken(ctx context.Context, target instance.Instance, err error) bool {
	if ctx.Err() != nil {
		c.release(target, c.canceledOutcome())
		c.noteCanceledRun(ctx, target)
		c.refuseEnded(ctx)
		return false
	}
	c.releaseFailed(target)
	c.logger.Info().Str("instance", target.ID).Err(err).Int("runs", c.runs).Msg("Answer broke off.")
	c.excluded = append(c.excluded, target.ID)
	c.noteBrokenRun(ctx, target)
	return c.mayRunAgain()
}
