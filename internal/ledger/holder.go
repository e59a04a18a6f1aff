package ledger

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/quota"
	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// settleDelay is how long the end of a turn may wait for other changes to
	// ride along with.
	settleDelay = 400 * time.Millisecond
	// operationQueue bounds the operations that wait for one shard.
	operationQueue = 1024
	// yieldInterval separates looks whether another daemon should hold the shard:
	// each ranks all members.
	yieldInterval = time.Second
	// expireInterval separates looks for records that nobody needs any more.
	expireInterval = 5 * time.Second
	// expireLimit bounds the records that are dropped at a time, 200 a second: a
	// shard of the busiest deployment measured takes 17 new ones a second. Each
	// costs some 40 bytes of the next append, which may have two megabytes.
	expireLimit = 1000
)

// operation is one request to a shard, with the way back.
type operation struct {
	request *Request
	reply   func(Response)
}

// urgent operations have somebody waiting for them.
func (o operation) urgent() bool { return o.request.isUrgent() }

// holder is one daemon's side of one shard. All its state belongs to run. It
// appends at most one batch of changes at a time and takes operations
// meanwhile: those that need no append are answered at once, also while the
// store does not answer.
type holder struct {
	shard      int
	partition  store.Partition
	daemon     string
	records    *recordStore
	logger     zerolog.Logger
	metrics    *Metrics
	operations chan operation
	// directory is the partition that tells who holds each shard.
	directory store.Partition
	// leaving is closed when the daemon is to give its shards up.
	leaving <-chan struct{}
	known   *holderTable
	fleet   fleet

	state *state // nil while the shard is not held
	// machine is the clock of the machine that this daemon runs on.
	machine MachineClock
	// former is what this daemon knew of the shard when it last lost it.
	former *formerState
	// limiter decides for the tenants whose shard this is, by quotaTerms; nil while
	// the shard is not held.
	limiter    *quota.Limiter
	quotaTerms quota.Terms
	// confirmations are told to those that ask for a limit.
	confirmations Confirmations
	// holding tells other goroutines whether the shard is held, and heldEpoch by which
	// claim it is held or being read; 0 for none.
	holding   atomic.Bool
	heldEpoch atomic.Uint64
	// confirmed is the latest word of another daemon that it holds the shard, and
	// passing counts the requests that are being passed on to it.
	confirmed confirmation
	passing   atomic.Int32
	epoch     uint64
	sequence  uint64
	// waiting operations are answered once the next append is done.
	waiting []answered
	// barrier: the next append must take place even without a change.
	barrier bool
	// pending is the append that is under way, nil for none; appending tells
	// askers of it.
	pending    *pendingAppend
	appending  atomic.Bool
	appendNews chan appendNews
	// silentSince is when the append under way was first sent, if it has not been
	// answered for long.
	silentSince instant
	flush       *time.Timer
	// stampedAt is when the latest record of the allowance was sent.
	stampedAt instant
	// tasks are done by run, one after the other.
	tasks chan func(context.Context)

	// histories is the reading of the turns' texts after a claim, nil once all are read;
	// reading tells askers of it.
	histories *histories
	reading   atomic.Bool
	// handover is the shard's way to a successor, nil while there is none, and
	// givenTo the daemon that is to claim the shard next, "" for none.
	handover *handover
	givenTo  string
	// ahead is what was or is being read of a shard that another daemon is to pass
	// on, nil if there is none.
	ahead *readAhead
	// promisedAt is when a holder was last told that the shard was read ahead here,
	// until it was claimed.
	promisedAt instant
	// readingAhead bounds this daemon's readings ahead at a time.
	readingAhead chan struct{}
	// claiming and preparing tell askers that the shard is being read, and
	// progressAt when that got on last.
	claiming   atomic.Bool
	preparing  atomic.Bool
	progressAt instant

	// heldSince is when the shard was claimed, and stay how long it is kept
	// from then on even if another daemon should hold it.
	heldSince time.Time
	stay      time.Duration
	// rankedAt is when the members were last ranked for the shard.
	rankedAt time.Time
	// retryAt is when the shard may be claimed again after the store did not
	// answer, or once returned is closed.
	retryAt   time.Time
	returned  <-chan struct{}
	pause     time.Duration
	expiredAt time.Time
}

// answered is an operation whose answer waits until it is durable.
type answered struct {
	operation
	answer Response
}

// run works until ctx ends.
func (h *holder) run(ctx context.Context) {
	h.appendNews = make(chan appendNews, 1)
	h.tasks = make(chan func(context.Context), 1)
	h.flush = time.NewTimer(time.Hour)
	h.flush.Stop()
	defer h.appending.Store(false)
	leaving := h.leaving
	for {
		select {
		case <-leaving:
			leaving = nil
			h.leave(ctx)
		case <-ctx.Done():
			return
		case o := <-h.operations:
			h.handle(ctx, o)
		case news := <-h.appendNews:
			h.noteAppend(ctx, news)
		case <-h.flush.C:
			h.startAppend(ctx)
		case task := <-h.tasks:
			task(ctx)
		}
	}
}

// isBusy tells whether the holder works on something that others wait for.
func (h *holder) isBusy() bool {
	return h.appending.Load() || h.preparing.Load() || h.passing.Load() > 0 || h.reading.Load() || h.claiming.Load() && h.isGettingOn(time.Now())
}

// noteProgress takes note that the reading of the shard gets on.
func (h *holder) noteProgress() { h.progressAt.set(time.Now()) }

// isGettingOn tells whether the reading of the shard got on lately: a claimant
// that is cut off from the store is not waited for.
func (h *holder) isGettingOn(now time.Time) bool {
	idle, begun := h.progressAt.since(now)
	return begun && idle < answerWithin
}

func (h *holder) isLeaving() bool { return isClosed(h.leaving) }

// leave passes the shard on, if this daemon holds it. Without a successor it is
// kept until there is one; its headroom goes back at once, as the process may end
// before.
func (h *holder) leave(ctx context.Context) {
	if h.state == nil {
		return
	}
	if successor := h.fleet.preferred(h.shard); successor != "" {
		h.handOver(ctx, successor)
		return
	}
	h.state.returnHeadroom()
	h.startAppend(ctx)
}

// handle takes one operation.
func (h *holder) handle(ctx context.Context, o operation) {
	if o.request.Prepare {
		h.prepare(ctx, o)
		return
	}
	if o.request.Superseded != nil {
		h.tellFormer(o)
		return
	}
	h.known.note(h.shard, holderRecord{Epoch: o.request.Failed, Daemon: o.request.Holder})
	if refusal, refused := h.hold(ctx, o.request.Failed, o.request.kind()); refused {
		if refusal == resultMoved && o.request.Failed != 0 && !o.request.Take && h.isConfirmed(time.Now()) {
			h.passOn(ctx, o)
			return
		}
		h.refuse(o, refusal)
		return
	}
	if h.awaitsHistory(o) {
		return
	}
	now := time.Now()
	h.expire(now)
	switch {
	case o.request.Begin != nil:
		h.begin(ctx, o, now)
	case o.request.End != nil:
		h.end(ctx, o, now)
	case o.request.Find != nil:
		h.find(ctx, o, now)
	case o.request.Quota != nil:
		h.decideQuota(o, now)
	default: // the shard is held now, and that is what was asked for
		h.answer(o, Response{Result: resultOK})
	}
	h.yield(ctx, now)
}

// begin grants a turn: at once from what the store already counts as spent, or
// else with an append.
func (h *holder) begin(ctx context.Context, o operation, now time.Time) {
	turn := *o.request.Begin
	if h.isIsolated() && !h.state.canGrant(turn, now) {
		h.refuse(o, resultImpaired)
		return
	}
	grant, outcome := h.state.begin(turn, now)
	answer := Response{Result: outcome, Grant: grant}
	if outcome == resultOK && h.state.takeHeadroom(turn, now) {
		h.metrics.granted("headroom")
		h.answer(o, answer)
		return
	}
	if outcome != resultOK {
		h.barrier = true // a final no must not rest on a state that another has gone on from
		h.logRefusal(turn, outcome)
	}
	h.metrics.granted("append")
	h.await(ctx, o, answer)
}

// logRefusal tells what a refusal rests on.
func (h *holder) logRefusal(turn Turn, outcome result) {
	event := h.logger.Info().Str("request", turn.ID).Str("program", turn.Program).Str("result", string(outcome)).
		Uint64("epoch", h.epoch).Dur("held_for", time.Since(h.heldSince))
	if entry := h.state.accounts[turn.Program]; entry != nil {
		event = event.Int64("budget", turn.BudgetTokens).Int64("most", turn.MostTokens).Int64("spent", entry.Spent).
			Int64("forfeited", entry.Forfeited).Int64("committed", entry.committed()).Int("reserved_turns", len(entry.Reserved))
	}
	event.Str("previous", turn.Previous).Msg("Turn not granted.")
}

// end settles a turn.
func (h *holder) end(ctx context.Context, o operation, now time.Time) {
	outcome := h.state.end(*o.request.End, now)
	if h.isIsolated() {
		h.refuse(o, resultImpaired) // it is settled here; the asker asks again until it is durable
		return
	}
	if outcome != resultOK {
		h.barrier = true // as in begin
	}
	h.await(ctx, o, Response{Result: outcome})
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
		h.barrier = true
		h.await(ctx, o, answer)
	}
}

// await answers an operation once all changes so far are durable.
func (h *holder) await(ctx context.Context, o operation, answer Response) {
	if len(h.waiting) >= waitingLimit {
		h.refuse(o, resultImpaired)
		return
	}
	h.waiting = append(h.waiting, answered{operation: o, answer: answer})
	if o.urgent() {
		h.startAppend(ctx)
		return
	}
	if len(h.waiting) == 1 {
		h.flush.Reset(settleDelay)
	}
}

func (h *holder) answer(o operation, answer Response) {
	answer.Number = o.request.Number
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

func (h *holder) refuseAll(list []answered, with result) {
	for _, a := range list {
		h.refuse(a.operation, with)
	}
}

// yield gives the shard up if another daemon should hold it for a while now.
func (h *holder) yield(ctx context.Context, now time.Time) {
	if h.state == nil || h.handover != nil || now.Sub(h.rankedAt) < yieldInterval {
		return
	}
	if h.isLeaving() {
		h.rankedAt = now
		h.leave(ctx)
		return
	}
	if h.histories != nil || now.Sub(h.heldSince) < h.stay {
		return
	}
	h.rankedAt = now
	successor := h.fleet.preferred(h.shard)
	if successor != h.daemon && h.fleet.mayHandOver(successor, h.state.size()) {
		h.handOver(ctx, successor)
	}
}

// prolongStay lets the holder keep the shard from now on, for twice as long as
// before, until it offers it to another daemon.
func (h *holder) prolongStay(now time.Time) {
	h.heldSince = now
	h.stay = min(max(2*h.stay, shortestStay), longestStay)
}

// relinquish gives the shard up, with the changes that wait for an append, and
// first back to the programs what was set aside for their next turns. If that
// fails, the next holder counts it as spent.
func (h *holder) relinquish(ctx context.Context) {
	h.state.returnHeadroom()
	records, err := h.state.takeDirty()
	if err == nil && len(records) == 0 && h.barrier {
		records = append(records, h.holderRecord(holderKey))
	}
	if err == nil && len(records) > 0 {
		h.sequence++
		err = h.records.appendWithin(ctx, giveUpAfter, h.partition, h.writer(), records)
	}
	if err != nil {
		h.logger.Warn().Err(err).Uint64("epoch", h.epoch).Msg("Headroom not given back.")
	} else {
		h.answerAll(h.waiting)
		h.waiting = nil
	}
	current := h.handover
	if current == nil {
		h.drop()
		h.known.forget(h.shard)
		return
	}
	h.known.noteReleased(h.shard, h.epoch, current.to)
	h.drop()
	h.passTo(ctx, current.to, h.epoch)
}

// drop forgets the shard's state.
func (h *holder) drop() {
	if h.state != nil {
		h.former = &formerState{epoch: h.epoch, lostAt: time.Now(), accounts: h.state.accounts}
	}
	h.stampedAt.clear()
	if h.histories != nil {
		for _, o := range h.histories.waiting {
			h.refuse(o, resultMoved)
		}
		h.endHistories()
	}
	h.state = nil
	h.limiter = nil
	h.holding.Store(false)
	h.heldEpoch.Store(0)
	h.pending = nil
	h.handover = nil
	h.appending.Store(false)
	h.silentSince.clear()
	h.barrier = false
	h.refuseAll(h.waiting, resultMoved)
	h.waiting = nil
	h.flush.Stop()
}

func (h *holder) expire(now time.Time) {
	if h.histories != nil || now.Sub(h.expiredAt) < expireInterval {
		return
	}
	h.expiredAt = now
	h.state.expire(now, expireLimit)
}

// lose drops the shard after an error: what was applied may or may not be in
// the store, so it is read again before anything else is answered.
func (h *holder) lose(ctx context.Context, err error) result {
	if errors.Is(err, errHeld) {
		return resultMoved
	}
	h.metrics.lost(err)
	if isSuperseded(err) {
		h.logger.Info().Uint64("epoch", h.epoch).Msg("Shard lost to another holder.")
		h.learnHolder(ctx)
		return resultMoved
	}
	h.pause = min(max(2*h.pause, firstPause), longestPause)
	h.retryAt = time.Now().Add(spread(h.pause))
	h.returned = h.records.contact.Returned()
	h.logger.Warn().Err(err).Uint64("epoch", h.epoch).Dur("pause", h.pause).Msg("Shard's partition not reached.")
	return resultImpaired
}

// learnHolder reads who holds the shard now.
func (h *holder) learnHolder(ctx context.Context) {
	h.known.forget(h.shard)
	if holder, err := h.readDirectory(ctx); err == nil {
		h.known.note(h.shard, holder)
	}
}
