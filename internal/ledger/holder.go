package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// settleDelay is how long the end of a turn may wait for other changes to
	// ride along with.
	settleDelay = 400 * time.Millisecond
	// operationQueue bounds the operations that wait for one shard.
	operationQueue = 1024
	// shortestStay is how long a daemon keeps a shard at least that another
	// should hold; it doubles up to longestStay each time the shard comes back.
	shortestStay = 4 * time.Second
	longestStay  = time.Minute
	// firstPause and longestPause separate tries to reach a partition that
	// does not answer.
	firstPause   = 200 * time.Millisecond
	longestPause = 600 * time.Millisecond
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

// errHeld: another daemon holds the shard, and lives.
var errHeld = eris.New("ledger: another daemon holds the shard")

// errStale: a reading after a claim does not show the claim.
var errStale = eris.New("ledger: the store's answer is older than the claim")

// operation is one request to a shard, with the way back.
type operation struct {
	request *Request
	reply   func(Response)
}

// urgent operations have somebody waiting for them.
func (o operation) urgent() bool { return o.request.isUrgent() }

// holder is one daemon's side of one shard. All its state belongs to run.
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
	isLeaving func() bool
	known     *holderTable
	fleet     fleet

	state    *state // nil while the shard is not held
	epoch    uint64
	sequence uint64
	// heldSince is when the shard was claimed, and stay how long it is kept
	// from then on even if another daemon should hold it.
	heldSince time.Time
	stay      time.Duration
	retryAt   time.Time
	pause     time.Duration
	expiredAt time.Time
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
	if refusal, refused := h.hold(ctx, failedEpoch(batch)); refused {
		h.answerAll(batch, refusal)
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
		h.answerAll(batch, h.lose(ctx, err))
		return
	}
	for i, o := range batch {
		answers[i].Number = o.request.Number
		answers[i].Epoch = h.epoch
		answers[i].Holder = h.daemon
		o.reply(answers[i])
	}
	h.yield(now)
}

func failedEpoch(batch []operation) uint64 {
	highest := uint64(0)
	for _, o := range batch {
		highest = max(highest, o.request.Failed)
	}
	return highest
}

// answerAll gives all operations of a batch the same answer, with the holder
// that this daemon knows of.
func (h *holder) answerAll(batch []operation, with result) {
	holder := h.known.get(h.shard)
	for _, o := range batch {
		o.reply(Response{
			Number: o.request.Number,
			Result: string(with),
			Epoch:  holder.Epoch,
			Holder: holder.Daemon,
		})
	}
}

// yield gives the shard up if another daemon should hold it for a while now.
// What was answered is in the store, so the other misses nothing.
func (h *holder) yield(now time.Time) {
	if now.Sub(h.heldSince) < h.stay || h.fleet.preferred(h.shard) == h.daemon {
		return
	}
	h.state = nil
	h.known.forget(h.shard)
	h.logger.Info().Uint64("epoch", h.epoch).Str("to", h.fleet.preferred(h.shard)).Msg("Shard given up.")
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

// hold makes sure that this daemon holds the shard, or tells why not. failed
// is the epoch of a holder that does not answer.
func (h *holder) hold(ctx context.Context, failed uint64) (result, bool) {
	now := time.Now()
	switch {
	case h.isLeaving():
		h.state = nil
		return resultMoved, true
	case h.state != nil:
		return "", false
	case h.mustLeaveTo(h.known.get(h.shard).holderRecord, failed):
		return resultMoved, true
	case now.Before(h.retryAt):
		return resultImpaired, true
	}
	if err := h.claim(ctx, failed); err != nil {
		return h.lose(ctx, err), true
	}
	h.pause = 0
	return "", false
}

// mustLeaveTo tells whether a shard must be left to its holder: one that lives
// and of which there is no bad news.
func (h *holder) mustLeaveTo(holder holderRecord, failed uint64) bool {
	return holder.Daemon != "" && holder.Daemon != h.daemon && holder.Epoch > failed && h.fleet.isAlive(holder.Daemon)
}

// claim takes the shard over: first the new epoch, which shuts the former
// holder out, then the reading, which therefore misses nothing. The directory
// only points the way; a claim that dies between the two leaves it behind, and
// the next claim is told by the store that its epoch is too low.
func (h *holder) claim(ctx context.Context, failed uint64) error {
	started := time.Now()
	before, err := h.readDirectory(ctx)
	if err != nil {
		return err
	}
	h.known.note(h.shard, before)
	if h.mustLeaveTo(before, failed) {
		return errHeld
	}
	if err := h.seize(ctx, before.Epoch, failed); err != nil {
		return err
	}
	h.writeDirectory(ctx)
	loaded, err := h.readClaimed(ctx)
	if err != nil {
		return err
	}
	h.take(loaded, time.Now())
	h.metrics.claimed(time.Since(started))
	h.logger.Info().Uint64("epoch", h.epoch).Str("before", before.Daemon).Uint64("failed", failed).
		Int("records", len(loaded)).Dur("took", time.Since(started)).Msg("Shard taken over.")
	return nil
}

// seize makes a higher epoch known to the store. The epoch in the directory
// may be behind: then either another daemon claims the shard at this moment, or
// one died before it wrote there. The shard's own records tell which.
func (h *holder) seize(ctx context.Context, known, failed uint64) error {
	err := h.appendClaim(ctx, nextEpoch(known))
	if !errors.Is(err, store.ErrFenced) {
		return err
	}
	records, err := h.records.newest(ctx, h.partition)
	if err != nil {
		return err
	}
	before := holderOf(records)
	h.known.note(h.shard, before)
	if h.mustLeaveTo(before, failed) {
		return errHeld
	}
	return h.appendClaim(ctx, nextEpoch(before.Epoch))
}

func (h *holder) appendClaim(ctx context.Context, epoch uint64) error {
	h.epoch = epoch
	h.sequence = 0
	return h.append(ctx, []store.Record{h.holderRecord(holderKey)})
}

// readDirectory reads who holds the shard.
func (h *holder) readDirectory(ctx context.Context) (holderRecord, error) {
	records, err := h.records.newest(ctx, h.directory)
	if err != nil {
		return holderRecord{}, err
	}
	return holderUnder(strconv.Itoa(h.shard), records), nil
}

// writeDirectory tells who holds the shard. A claim that was superseded is
// kept from overwriting the later one by its epoch.
func (h *holder) writeDirectory(ctx context.Context) {
	key := strconv.Itoa(h.shard)
	writer := store.Writer{Name: writerName + "-" + key, Epoch: h.epoch, Sequence: 1}
	if err := h.records.append(ctx, h.directory, writer, []store.Record{h.holderRecord(key)}); err != nil {
		h.logger.Warn().Err(err).Uint64("epoch", h.epoch).Msg("Directory not written.")
	}
}

// take makes what was read the state of the shard.
func (h *holder) take(records []store.Record, now time.Time) {
	h.state = newState()
	h.heldSince = now
	h.stay = min(max(2*h.stay, shortestStay), longestStay)
	h.known.note(h.shard, holderRecord{Epoch: h.epoch, Daemon: h.daemon})
	for _, record := range records {
		if err := h.state.load(record, now); err != nil {
			h.metrics.malformed()
			h.logger.Warn().Err(err).Int64("offset", record.Offset).Msg("Record skipped.")
		}
	}
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

// holderOf returns who holds the shard by its own records.
func holderOf(records []store.Record) holderRecord { return holderUnder(holderKey, records) }

func holderUnder(key string, records []store.Record) holderRecord {
	var found holderRecord
	for _, record := range records {
		if record.Key == key {
			_ = json.Unmarshal(record.Value, &found) // one that is malformed is none
		}
	}
	return found
}

func (h *holder) holderRecord(key string) store.Record { return h.recordOf(key, h.epoch) }

func (h *holder) recordOf(key string, epoch uint64) store.Record {
	value, err := json.Marshal(holderRecord{Epoch: epoch, Daemon: h.daemon})
	if err != nil {
		panic(err) // two plain fields
	}
	return store.Record{Key: key, Value: value}
}

// persist appends all changes. With a barrier it appends at least the holder's
// record, so that an answer without a change is known to be current.
func (h *holder) persist(ctx context.Context, barrier bool) error {
	records, err := h.state.takeDirty()
	if err != nil {
		return err
	}
	if len(records) == 0 && barrier {
		records = append(records, h.holderRecord(holderKey))
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
func (h *holder) lose(ctx context.Context, err error) result {
	h.state = nil
	if errors.Is(err, errHeld) {
		return resultMoved
	}
	h.metrics.lost(err)
	if errors.Is(err, store.ErrFenced) || errors.Is(err, store.ErrSequence) {
		h.logger.Info().Uint64("epoch", h.epoch).Msg("Shard lost to another holder.")
		h.learnHolder(ctx)
		return resultMoved
	}
	h.pause = min(max(2*h.pause, firstPause), longestPause)
	h.retryAt = time.Now().Add(h.pause)
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

func (h *holder) expire(now time.Time) {
	if now.Sub(h.expiredAt) < expireInterval {
		return
	}
	h.expiredAt = now
	h.state.expire(now, expireLimit)
}
