package relay

import "github.com/mintpulley/mintpulley/internal/instance"

// falsePromiseRefusal ends a call that a back end may have run and answered with a status by which its
// caller would take it for not run.
var falsePromiseRefusal = Refusal{Reason: ReasonBroken, Detail: "The back end's answer implies falsely that the request has not run; it may have run."}

// answerUnlessFalsePromise passes an answer on. If its status would mislead the caller, as the
// instance did run the request, the caller is told that it may have run.
func (c *callHandler) answerUnlessFalsePromise(answer *Answer, body []byte, target instance.Instance) {
	if c.isFalsePromise(answer) {
		c.refuseFalsePromise(answer, target)
		return
	}
	c.answer(answer, body, target)
}

// isFalsePromise reports whether the caller would be misled by an answer's status: to repeat what must not
// run twice, or to believe what only the system knows of a turn.
func (c *callHandler) isFalsePromise(answer *Answer) bool {
	switch answer.Implies {
	case ImpliesNotRun:
		return !c.call.Route.Repeatable()
	case ImpliesBudgetSpent:
		return c.isTurn()
	case ImpliesUnknownTurn:
		return c.isTurn() && c.call.Program.Previous != ""
	}
	return false
}

// refuseFalsePromise ends the call in place of its answer.
func (c *callHandler) refuseFalsePromise(answer *Answer, target instance.Instance) {
	c.logger.Info().Str("instance", target.ID).Int("status", answer.Status).Str("implies", string(answer.Implies)).
		Msg("Answer falsely implies that the request was not run. It is not passed on.")
	c.refuseWithCause(falsePromiseRefusal, CauseFalsePromise)
}
