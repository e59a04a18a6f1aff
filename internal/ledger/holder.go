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
	// operationQueue bounds the operations that wait for one shard.
	operationQueue = 1024
	// expireInterval separates looks for records that nobody needs any more: what they take
	// is not there for others, a seventieth of the store for each second.
	expireInterval = time.Second
	// expireLimit bounds the records that are dropped at a time: a shard of the busiest
	// deployment measured takes 17 new ones a second. Each costs some 40 bytes of the
	// next append, which may have two megabytes.
	expireLimit = 200
)

// operation is one request to a shard, with the way back.
type operation struct {
	request *Request
	reply   func(Response)
}

// urgent operations have somebody waiting for them.
func (o operation) urgent() bool { return o.request.isUrgent() }

// holderOptions are what a holder works with. They do not change.
type holderOptions struct {
	shard     int
	partition store.Partition
	// directory is the partition that tells who holds each shard.
	directory store.Partition
	daemon    string
	records   *recordStore
	known     *holderTable
	// capacity is what is known of the room in the store.
	capacity *storeCapacity
	fleet    fleet
	// machine is the clock of the machine that this daemon runs on.
	machine MachineClock
	// quotaTerms are the terms on which the holder of a tenant's shard owns its limit.
	quotaTerms quota.Tolerance
	// confirmations are told to those that ask for a limit.
	confirmations RouteConfirmations
	logger        zerolog.Logger
	metrics       *Metrics
	// leaving is closed when the daemon is to give its shards up.
	leaving <-chan struct{}
	// readingAhead bounds the shards that this daemon reads ahead at a time.
	readingAhead chan struct{}
}

// holder is one daemon's side of one shard. All its state but status belongs to run.
// It appends at most one batch of changes at a time and takes operations
// meanwhile: those that need no append are answered at once, also while the
// store does not answer.
type holder struct {
	holderOptions
	operations chan operation
	// tasks are done by run, one after the other.
	tasks  chan func(context.Context)
	status holderStatus

	// state is the shard's, nil while it is not held.
	state *state
	// limiter decides for the tenants whose shard this is, by quotaTerms; nil while
	// the shard is not held.
	limiter *quota.Limiter
	// epoch is that of this daemon's latest claim, and sequence the number of the latest
	// append under it.
	epoch    uint64
	sequence uint64
	appends  appendQueue
	// appended is the shard's history in the store, nil while the shard is not held.
	appended *appendHistory
	// gate decides whether programs begin while the store is crowded.
	gate storecapacity.Gate
	// sizes is what the shard was last told to take in the store.
	sizes shardSizes
	// histories is the reading of the turns' texts after a claim, nil once all are read.
	histories *historyReading
	tenure    tenure
	// expiredAt is when records that nobody needs any more were last looked for.
	expiredAt time.Time

	// handover is the shard's way to a successor, nil while there is none, and
	// givenTo the daemon that is to claim the shard next, "" for none.
	handover *handover
	givenTo  string
	// ahead is what was or is being read of a shard that another daemon is to pass
	// on, nil if there is none.
	ahead *readAhead
	// former is what this daemon knew of the shard when it last lost it, until formerOver
	// fires: its accounts are as many as a shard has.
	former     *formerState
	formerOver *time.Timer
	// confirmed is the latest word of another daemon that it holds the shard.
	confirmed holderConfirmation
	retry     claimRetry
}

// run works until ctx ends.
func (h *holder) run(ctx context.Context) {
	h.appends.news = make(chan appendNews, 1)
	h.tasks = make(chan func(context.Context), 1)
	h.appends.flush = time.NewTimer(time.Hour)
	h.appends.flush.Stop()
	h.formerOver = time.NewTimer(formerLife)
	defer h.formerOver.Stop()
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
		case news := <-h.appends.news:
			h.noteAppend(ctx, news)
		case <-h.appends.flush.C:
			h.startAppend(ctx)
		case <-h.formerOver.C:
			h.former = nil
		case task := <-h.tasks:
			task(ctx)
		}
	}
}

func (h *holder) isLeaving() bool { return isClosed(h.leaving) }

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
	h.known.note(h.shard, holderRecord{Epoch: o.request.FailedEpoch, Daemon: o.request.FailedHolder})
	if refusal, refused := h.hold(ctx, o.request.FailedEpoch, o.request.kind()); refused {
		if refusal == resultMoved && o.request.FailedEpoch != 0 && !o.request.Take && h.isConfirmed(time.Now()) {
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

// expire drops records that nobody needs any more, each expireInterval.
func (h *holder) expire(now time.Time) {
	if h.histories != nil || now.Sub(h.expiredAt) < expireInterval {
		return
	}
	h.expiredAt = now
	dropped := h.state.expire(now, expireLimit)
	if dropped > 0 && h.appends.pending == nil && len(h.appends.waiting) == 0 {
		h.appends.flush.Reset(settleDelay) // also where all that comes is refused
	}
	h.reportCapacity(now)
}

// post lets run do a task.
func (h *holder) post(ctx context.Context, task func(context.Context)) {
	select {
	case h.tasks <- task:
	case <-ctx.Done():
	}
}
