package ledger

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/quota"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/storecapacity"
)

const (
	// operationQueueSize bounds the operations that wait for one shard.
	operationQueueSize = 1024
	// expireInterval is the interval of sweeps for expired records, whose space is not
	// available to others until they are dropped.
	expireInterval = time.Second
	// expireLimit bounds the records dropped in one sweep, as each adds about 40 bytes to
	// the next append, which is limited to two megabytes. It must exceed the records that a
	// busy shard adds in expireInterval.
	expireLimit = 200
)

// operation is one request to a shard, with the callback for its answer.
type operation struct {
	request *Request
	reply   func(Response)
}

// urgent reports whether a caller waits for the operation.
func (o operation) urgent() bool { return o.request.isUrgent() }

// holderOptions are the dependencies of a holder. They do not change.
type holderOptions struct {
	shard     int
	partition store.Partition
	// directory is the partition that names the holder of each shard.
	directory store.Partition
	daemon    string
	records   *recordStore
	// bounds are what the store takes in one append.
	bounds store.Bounds
	known  *holderTable
	// capacity estimates the space in the store.
	capacity *storeCapacity
	fleet    fleet
	// machine is the clock of the machine that this daemon runs on.
	machine MachineClock
	// pauses detects that this daemon stood still.
	pauses *pauseDetector
	// quotaTolerance is the tolerance with which the holder of a tenant's shard enforces the
	// tenant's limit.
	quotaTolerance quota.Tolerance
	// confirmations are included in answers to quota requests.
	confirmations RouteConfirmations
	logger        zerolog.Logger
	metrics       *Metrics
	// leaving is closed when the daemon should give up its shards.
	leaving <-chan struct{}
	// readingAhead limits how many shards this daemon reads ahead at a time.
	readingAhead chan struct{}
}

// holder is one daemon's side of one shard. All its state but status belongs to run. It
// appends at most one batch of changes at a time and accepts operations meanwhile; those
// that need no append are answered at once, even while the store does not answer.
type holder struct {
	holderOptions
	operations chan operation
	// tasks are executed by run, one after the other.
	tasks  chan func(context.Context)
	status holderStatus

	// state is that of the shard, nil while it is not held.
	state *state
	// limiter enforces the limits of the tenants that map to this shard; nil while the
	// shard is not held.
	limiter *quota.Limiter
	// epoch is that of this daemon's latest claim, and sequence the number of the latest
	// append under it.
	epoch    uint64
	sequence uint64
	appends  appendQueue
	// ownership is the proof that this daemon holds the shard.
	ownership ownership
	// appended is the shard's history in the store, nil while the shard is not held.
	appended *appendHistory
	// gate decides whether programs may begin while the store is nearly full.
	gate storecapacity.Gate
	// sizes are the sizes last reported for the shard.
	sizes shardSizes
	// textLoad is the background read of the turns' texts after a claim, nil once all are
	// read.
	textLoad *textLoader
	tenure   tenure
	// expiredAt is the time of the last sweep for expired records.
	expiredAt time.Time

	// handover is the transfer to a successor, nil if there is none, and releasedTo the
	// daemon that is to claim the released shard, "" for none.
	handover   *handover
	releasedTo string
	// ahead is the read of a shard that another daemon is about to hand over, nil if there is
	// none.
	ahead *readAhead
	// former is what this daemon knew of the shard when it last lost it. It holds all
	// accounts of the shard, so formerTimer drops it.
	former      *formerState
	formerTimer *time.Timer
	// confirmed is another daemon's latest confirmation that it holds the shard.
	confirmed holderConfirmation
	retry     claimRetry
}

// run processes operations and events until ctx ends.
func (h *holder) run(ctx context.Context) {
	h.appends.events = make(chan appendEvent, 1)
	h.tasks = make(chan func(context.Context), 1)
	h.appends.flush = time.NewTimer(time.Hour)
	h.appends.flush.Stop()
	h.formerTimer = time.NewTimer(formerStateTTL)
	defer h.formerTimer.Stop()
	defer h.status.appending.Store(false)
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
		case event := <-h.appends.events:
			h.handleAppendEvent(ctx, event)
		case <-h.appends.flush.C:
			h.flushDue(ctx)
		case <-h.formerTimer.C:
			h.former = nil
		case task := <-h.tasks:
			task(ctx)
		}
	}
}

func (h *holder) isLeaving() bool { return isClosed(h.leaving) }

// handle processes one operation.
func (h *holder) handle(ctx context.Context, o operation) {
	if o.request.Prepare {
		h.prepare(ctx, o)
		return
	}
	if o.request.Superseded != nil {
		h.handleSuperseded(o)
		return
	}
	h.known.note(h.shard, holderRecord{Epoch: o.request.FailedEpoch, Daemon: o.request.FailedHolder})
	if refusal, refused := h.ensureHeld(ctx, o.request.FailedEpoch, o.request.kind()); refused {
		if refusal == resultMoved && o.request.FailedEpoch != 0 && !o.request.Take && h.isConfirmed(time.Now()) {
			h.forward(ctx, o)
			return
		}
		h.refuse(o, refusal)
		return
	}
	if h.deferUntilTextLoaded(o) {
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
		h.decideQuota(ctx, o, now)
	default: // a Take request: the shard is held now
		h.answer(o, Response{Result: resultOK})
	}
	h.yield(ctx, now)
}

// expire drops expired records every expireInterval.
func (h *holder) expire(now time.Time) {
	if h.textLoad != nil || now.Sub(h.expiredAt) < expireInterval {
		return
	}
	h.expiredAt = now
	dropped := h.state.expire(now, expireLimit)
	if dropped > 0 && h.appends.pending == nil && len(h.appends.waiting) == 0 {
		h.flushWithin(settleDelay) // even if all new programs are refused
	}
	h.reportCapacity(now)
}

// post makes run execute a task.
func (h *holder) post(ctx context.Context, task func(context.Context)) {
	select {
	case h.tasks <- task:
	case <-ctx.Done():
	}
}
