package ledger

import (
	"context"
	"time"
)

// settleDelay is how long the end of a turn may wait to be appended together with other
// changes.
const settleDelay = 400 * time.Millisecond

// pendingReply is an operation whose answer is sent once the changes it depends on are
// durable.
type pendingReply struct {
	operation
	answer Response
}

// begin grants a turn: at once if the headroom has room for it, or otherwise with an
// append.
func (h *holder) begin(ctx context.Context, o operation, now time.Time) {
	turn := *o.request.Begin
	if turn.OriginOnly {
		h.answer(o, Response{Result: resultOK, Grant: Grant{Origin: h.state.originOf(turn)}})
		return
	}
	if !h.admitTurn(o, turn, now) {
		return
	}
	if h.isIsolated() && !h.state.canGrant(turn, now) {
		h.refuse(o, resultImpaired)
		return
	}
	grant, outcome := h.state.begin(turn, now)
	answer := Response{Result: outcome, Grant: grant}
	if outcome == resultOK && h.grantFromHeadroom(turn, now) {
		h.answer(o, answer)
		h.flushOrigin(turn)
		return
	}
	if outcome != resultOK {
		h.appends.barrier = true // a final refusal must not be based on the state of a superseded holder
		h.logRefusal(turn, outcome)
	}
	h.metrics.granted("append")
	h.replyWhenDurable(ctx, o, answer)
}

// grantFromHeadroom grants a reserved turn from headroom, if there is room. A revised origin
// must be durable before its stream begins.
func (h *holder) grantFromHeadroom(turn Turn, now time.Time) bool {
	if turn.isRevised() || !h.state.takeHeadroom(turn, now) {
		return false
	}
	h.metrics.granted("headroom")
	return true
}

// logRefusal logs a refused turn with the state of its account.
func (h *holder) logRefusal(turn Turn, outcome result) {
	event := h.logger.Info().Str("request", turn.ID).Str("program", turn.Program).Str("result", string(outcome)).
		Uint64("epoch", h.epoch).Dur("held_for", time.Since(h.tenure.since))
	if entry := h.state.accounts[turn.Program]; entry != nil {
		event = event.Int64("budget", turn.BudgetTokens).Int64("most", turn.MaxTokens).Int64("spent", entry.Spent).
			Int64("forfeited", entry.Forfeited).Int64("committed", entry.committed()).Int("reserved_turns", len(entry.Reserved))
	}
	event.Str("previous", turn.Previous).Msg("Turn not granted.")
}

// end settles a turn.
func (h *holder) end(ctx context.Context, o operation, now time.Time) {
	outcome := h.state.end(*o.request.End, now)
	if h.isIsolated() {
		h.refuse(o, resultImpaired) // settled in memory; the caller repeats the request until it is durable
		return
	}
	if outcome != resultOK {
		h.appends.barrier = true // as in begin
	}
	h.replyWhenDurable(ctx, o, Response{Result: outcome})
}

// find looks for a turn.
func (h *holder) find(ctx context.Context, o operation, now time.Time) {
	if found := h.state.find(o.request.Find.Turn, now); found != nil {
		h.answer(o, Response{Result: resultOK, Found: found})
		return
	}
	answer := Response{Result: resultUnknownTurn}
	switch {
	case !o.request.Find.Certain:
		h.answer(o, answer)
	case h.isIsolated():
		h.refuse(o, resultImpaired)
	default:
		h.appends.barrier = true
		h.replyWhenDurable(ctx, o, answer)
	}
}

// replyWhenDurable answers an operation once all changes so far are durable.
func (h *holder) replyWhenDurable(ctx context.Context, o operation, answer Response) {
	if len(h.appends.waiting) >= waitingLimit {
		h.refuse(o, resultImpaired)
		return
	}
	h.appends.waiting = append(h.appends.waiting, pendingReply{operation: o, answer: answer})
	if o.urgent() {
		h.startAppend(ctx)
		return
	}
	h.flushWithin(settleDelay)
}

func (h *holder) answer(o operation, answer Response) {
	answer.Number = o.request.Number
	if o.request.Begin != nil {
		answer.StoreReports = h.capacity.reports(h.shard, time.Now())
	}
	answer.Epoch = h.epoch
	answer.Holder = h.daemon
	o.reply(answer)
}

// refuse answers an operation with the holder that this daemon knows of.
func (h *holder) refuse(o operation, with result) {
	holder := h.known.get(h.shard)
	o.reply(Response{
		Number:   o.request.Number,
		Result:   with,
		Epoch:    holder.Epoch,
		Holder:   holder.Daemon,
		Released: holder.released,
	})
}

func (h *holder) refuseAll(list []pendingReply, with result) {
	for _, a := range list {
		h.refuse(a.operation, with)
	}
}

func (h *holder) answerAll(list []pendingReply) {
	for _, a := range list {
		h.answer(a.operation, a.answer)
	}
}
