package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// settleDelay is how long the end of a turn may wait for other changes to
	// ride along with.
	settleDelay = 100 * time.Millisecond
	// operationQueue bounds the operations that wait for one shard.
	operationQueue = 1024
	// movedFor is how long a daemon that lost a shard points to others.
	movedFor = time.Second
	// firstPause and longestPause separate tries to reach a partition that
	// does not answer.
	firstPause   = 200 * time.Millisecond
	longestPause = 1500 * time.Millisecond
	// expireInterval separates looks for records that nobody needs any more.
	expireInterval = 5 * time.Second
	// expireLimit bounds the records that are dropped at a time.
	expireLimit = 64
	// writerName is what epochs of shards are compared under.
	writerName = "holder"
	// epochRandomBits tell epochs apart that two daemons choose at once.
	epochRandomBits = 20
	// loadTries bounds the readings after a claim.
	loadTries = 3
)

// errStale: a reading after a claim does not show the claim.
var errStale = eris.New("ledger: the store's answer is older than the claim")

// operation is one request to a shard, with the way back.
type operation struct {
	request *Request
	reply   func(Response)
}

// urgent operations have somebody waiting for them.
func (o operation) urgent() bool {
	return o.request.End == nil || o.request.End.Kept != nil
}

// holder is one daemon's side of one shard. All its state belongs to run.
type holder struct {
	shard      int
	partition  store.Partition
	daemon     string
	records    *recordStore
	logger     zerolog.Logger
	metrics    *Metrics
	operations chan operation
	isLeaving  func() bool

	state      *state // nil while the shard is not held
	epoch      uint64
	sequence   uint64
	movedUntil time.Time
	retryAt    time.Time
	pause      time.Duration
	expiredAt  time.Time
}

// run works until ctx ends.
func (h *holder) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-h.operations:
			h.process(ctx, h.gather(ctx, first))
		}
	}
}

// gather collects operations that wait already, and waits for more while
// nobody waits for any of them.
func (h *holder) gather(ctx context.Context, first operation) []operation {
	batch := []operation{first}
	urgent := first.urgent()
	timer := time.NewTimer(settleDelay)
	defer timer.Stop()
	for !urgent {
		select {
		case next := <-h.operations:
			batch = append(batch, next)
			urgent = next.urgent()
		case <-timer.C:
			urgent = true
		case <-ctx.Done():
			return batch
		}
	}
	for len(h.operations) > 0 {
		batch = append(batch, <-h.operations)
	}
	return batch
}

// process applies a batch, makes it durable and answers it.
func (h *holder) process(ctx context.Context, batch []operation) {
	if refusal, refused := h.hold(ctx); refused {
		answerAll(batch, refusal)
		return
	}
	now := time.Now()
	answers := make([]Response, len(batch))
	barrier := false
	for i, o := range batch {
		answers[i] = h.apply(o.request, now)
		barrier = barrier || needsBarrier(o.request, answers[i])
	}
	h.expire(now)
	if err := h.persist(ctx, barrier); err != nil {
		answerAll(batch, h.lose(err))
		return
	}
	for i, o := range batch {
		answers[i].Number = o.request.Number
		o.reply(answers[i])
	}
}

func answerAll(batch []operation, with result) {
	for _, o := range batch {
		o.reply(Response{Number: o.request.Number, Result: string(with)})
	}
}

func (h *holder) apply(request *Request, now time.Time) Response {
	switch {
	case request.Begin != nil:
		history, outcome := h.state.begin(*request.Begin, now)
		if outcome != resultOK {
			h.logger.Info().Str("request", request.Begin.ID).Str("program", request.Begin.Program).
				Str("result", string(outcome)).Uint64("epoch", h.epoch).Msg("Turn not granted.")
		}
		return Response{Result: string(outcome), History: history}
	case request.End != nil:
		h.state.end(*request.End, now)
		return Response{Result: string(resultOK)}
	default:
		found := h.state.find(request.Find.Turn, now)
		if found == nil {
			return Response{Result: string(resultUnknownTurn)}
		}
		return Response{Result: string(resultOK), Found: found}
	}
}

// needsBarrier tells whether an answer is a final no, which must not rest on a
// state that another holder has gone on from.
func needsBarrier(request *Request, answer Response) bool {
	if request.Find != nil && !request.Find.Certain {
		return false
	}
	return answer.Result != string(resultOK)
}

// hold makes sure that this daemon holds the shard, or tells why not.
func (h *holder) hold(ctx context.Context) (result, bool) {
	now := time.Now()
	switch {
	case h.isLeaving(), now.Before(h.movedUntil):
		return resultMoved, true
	case h.state != nil:
		return "", false
	case now.Before(h.retryAt):
		return resultImpaired, true
	}
	if err := h.claim(ctx); err != nil {
		return h.lose(err), true
	}
	h.pause = 0
	return "", false
}

// claim takes the shard over: first the new epoch, which shuts the former
// holder out, then the reading, which therefore misses nothing.
func (h *holder) claim(ctx context.Context) error {
	started := time.Now()
	known, err := h.records.newest(ctx, h.partition)
	if err != nil {
		return err
	}
	h.epoch = nextEpoch(holderOf(known).Epoch)
	h.sequence = 0
	if err := h.append(ctx, []store.Record{h.holderRecord()}); err != nil {
		return err
	}
	loaded, err := h.readClaimed(ctx)
	if err != nil {
		return err
	}
	h.state = newState()
	now := time.Now()
	for _, record := range loaded {
		if err := h.state.load(record, now); err != nil {
			h.metrics.malformed()
			h.logger.Warn().Err(err).Int64("offset", record.Offset).Msg("Record skipped.")
		}
	}
	h.metrics.claimed(time.Since(started))
	h.logger.Info().Uint64("epoch", h.epoch).Str("before", holderOf(known).Daemon).Int("records", len(loaded)).
		Dur("took", time.Since(started)).Msg("Shard taken over.")
	return nil
}

// readClaimed reads the shard, this daemon's claim included.
func (h *holder) readClaimed(ctx context.Context) ([]store.Record, error) {
	for range loadTries {
		loaded, err := h.records.newest(ctx, h.partition)
		if err != nil {
			return nil, err
		}
		epoch := holderOf(loaded).Epoch
		if epoch == h.epoch {
			return loaded, nil
		}
		if epoch > h.epoch {
			return nil, store.ErrFenced
		}
	}
	return nil, errStale
}

// nextEpoch is above an epoch, and differs from what another daemon chooses at
// the same time.
func nextEpoch(known uint64) uint64 {
	return (known>>epochRandomBits+1)<<epochRandomBits | rand.Uint64N(1<<epochRandomBits)
}

func holderOf(records []store.Record) holderRecord {
	var found holderRecord
	for _, record := range records {
		if record.Key == holderKey {
			_ = json.Unmarshal(record.Value, &found)
		}
	}
	return found
}

func (h *holder) holderRecord() store.Record {
	value, err := json.Marshal(holderRecord{Epoch: h.epoch, Daemon: h.daemon})
	if err != nil {
		panic(err) // two plain fields
	}
	return store.Record{Key: holderKey, Value: value}
}

// persist appends all changes. With a barrier it appends at least the holder's
// record, so that an answer without a change is known to be current.
func (h *holder) persist(ctx context.Context, barrier bool) error {
	records, err := h.state.takeDirty()
	if err != nil {
		return err
	}
	if len(records) == 0 && barrier {
		records = append(records, h.holderRecord())
	}
	if len(records) == 0 {
		return nil
	}
	return h.append(ctx, records)
}

func (h *holder) append(ctx context.Context, records []store.Record) error {
	h.sequence++
	writer := store.Writer{Name: writerName, Epoch: h.epoch, Sequence: h.sequence}
	return h.records.append(ctx, h.partition, writer, records)
}

// lose drops the shard after an error: what was applied may or may not be in
// the store, so it is read again before anything else is answered.
func (h *holder) lose(err error) result {
	now := time.Now()
	h.state = nil
	h.metrics.lost(err)
	if errors.Is(err, store.ErrFenced) || errors.Is(err, store.ErrSequence) {
		h.movedUntil = now.Add(movedFor)
		h.logger.Info().Uint64("epoch", h.epoch).Msg("Shard lost to another holder.")
		return resultMoved
	}
	h.pause = min(max(2*h.pause, firstPause), longestPause)
	h.retryAt = now.Add(h.pause)
	h.logger.Warn().Err(err).Uint64("epoch", h.epoch).Dur("pause", h.pause).Msg("Shard's partition not reached.")
	return resultImpaired
}

func (h *holder) expire(now time.Time) {
	if now.Sub(h.expiredAt) < expireInterval {
		return
	}
	h.expiredAt = now
	h.state.expire(now, expireLimit)
}
