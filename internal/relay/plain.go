package relay

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/route"
)

const kindStream = route.KindStream

// errAnswerTooLong: an answer exceeds bodyLimit.
var errAnswerTooLong = eris.New("relay: the answer is too long")

// carryPlain carries a request whose answer is passed on as a whole: an answer
// that breaks off is never seen by the caller, and a repeatable request runs
// again.
func (c *carrier) carryPlain(ctx context.Context) {
	for {
		outgoing := OutgoingCall{Call: c.call, Body: c.call.Body, Deadline: c.call.Deadline, Urgency: defaultUrgency}
		answer, target := c.offer(ctx, outgoing)
		if answer == nil {
			return
		}
		body, err := readWhole(answer.Body)
		if err == nil {
			took := time.Since(c.latest.beganAt)
			c.relay.Pool.RecordLatency(target.ID, c.call.Route.Name, took)
			c.relay.serving.note(c.call.Route.Name, servingTime{first: took, whole: took})
			c.release(target, instance.OutcomeAnswered)
			c.answerOrBreak(answer, body, target)
			return
		}
		if !c.retryBroken(ctx, target, err) {
			return
		}
	}
}

// answerOrBreak passes an answer on. One that callers would take for a promise that the
// request has not run is none of an instance that ran it: whoever may not send the
// request again unless it has not run hears that it may have.
func (c *carrier) answerOrBreak(answer *Answer, body []byte, target instance.Instance) {
	if answer.StatusMeansNotRun && !c.call.Route.Repeatable() {
		c.logger.Info().Str("instance", target.ID).Int("status", answer.Status).Msg("Answer promises what its instance did not. It is not passed on.")
		c.refuseFor(brokenOff, CauseFalsePromise)
		return
	}
	c.answer(answer, body, target)
}

func (c *carrier) answer(answer *Answer, body []byte, target instance.Instance) {
	c.relay.Metrics.answered(c.call, answer.Status)
	c.noteForecast(heldUpServed)
	c.logAnswered("Request answered.", target, answer.Status, nil)
	_ = c.responder.Answer(answer.Status, answer.Header, body) // a caller that left is taken note of there
}

// retryBroken takes note of an answer that broke off and tells whether the
// request may run again. If not, the call was ended.
func (c *carrier) retryBroken(ctx context.Context, target instance.Instance, err error) bool {
	if ctx.Err() != nil {
		c.release(target, c.outcomeOfGivingUp())
		c.refuseLate(ctx)
		return false
	}
	c.fail(target)
	c.logger.Info().Str("instance", target.ID).Err(err).Int("runs", c.runs).Msg("Answer broke off.")
	c.excluded = append(c.excluded, target.ID)
	return c.mayRunAgain()
}

func readWhole(body io.ReadCloser) ([]byte, error) {
	defer func() { _ = body.Close() }()
	data, err := io.ReadAll(io.LimitReader(body, bodyLimit+1))
	if err != nil {
		return nil, err
	}
	if len(data) > bodyLimit {
		return nil, errAnswerTooLong
	}
	return data, nil
}
