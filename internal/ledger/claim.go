package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/quota"
	"github.com/mintpulley/mintpulley/internal/store"
)

const (
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

// hold makes sure that this daemon holds the shard, or tells why not. failed
// is the epoch of a holder that does not answer, and cause what the shard is for.
func (h *holder) hold(ctx context.Context, failed uint64, cause string) (result, bool) {
	now := time.Now()
	switch {
	case h.state != nil:
		return "", false
	case h.isLeaving() && !h.status.isPromised(now), h.givenTo != "":
		return resultMoved, true
	case h.mustLeaveTo(h.known.get(h.shard).holderRecord, failed):
		return resultMoved, true
	case failed != 0 && h.isConfirmed(now):
		return resultMoved, true
	case h.retry.mustWait(now), h.records.isDown(now):
		return resultImpaired, true
	}
	h.status.noteProgress()
	h.status.claiming.Store(true)
	defer h.status.claiming.Store(false)
	if err := h.claim(ctx, failed, cause); err != nil {
		h.status.heldEpoch.Store(0)
		return h.lose(ctx, err), true
	}
	h.retry.pause = 0
	h.status.promisedAt.clear()
	if h.isLeaving() {
		h.leave(ctx) // it was promised; the next one reads it ahead meanwhile
	}
	return "", false
}

// mustLeaveTo tells whether a shard must be left to its holder: one that may live
// and of which there is no bad news.
func (h *holder) mustLeaveTo(holder holderRecord, failed uint64) bool {
	return holder.Daemon != "" && holder.Daemon != h.daemon && holder.Epoch > failed && h.fleet.mayLive(holder.Daemon)
}

// claim takes the shard over: first the new epoch, which shuts the former
// holder out, then the reading, which therefore misses nothing. The directory
// only points the way; a claim that dies between the two leaves it behind, and
// the next claim is told by the store that its epoch is too low.
func (h *holder) claim(ctx context.Context, failed uint64, cause string) error {
	started := time.Now()
	before, answer, err := h.checkHolder(ctx, failed, cause)
	if err != nil {
		return err
	}
	if answer == holderKeeps {
		h.confirmed = holderConfirmation{holder: before, at: time.Now()}
		h.metrics.kept()
		h.logger.Info().Str("holder", before.Daemon).Uint64("epoch", before.Epoch).Uint64("failed", failed).Str("for", cause).
			Dur("took", time.Since(started)).Msg("Shard left to its holder, which answers.")
		return errHeld
	}
	if err := h.seize(ctx, before.Epoch, failed); err != nil {
		return err
	}
	seizedAfter := time.Since(started)
	h.status.heldEpoch.Store(h.epoch)
	read, err := h.readSeized(ctx, before, answer)
	if err != nil {
		return err
	}
	if read.former == nil {
		read.former = h.askRecorded(ctx, read.records, before)
	}
	if read.former != nil {
		h.former = read.former
	}
	h.take(read.records, before.Daemon == "", time.Now())
	h.startHistories(ctx, read.after)
	h.metrics.claimed(time.Since(started))
	h.logger.Info().Uint64("epoch", h.epoch).Str("before", before.Daemon).Uint64("failed", failed).Str("for", cause).
		Bool("lives", before.Daemon != "" && h.fleet.mayLive(before.Daemon)).
		Int("records", len(read.records)).Int("bytes", store.SizeOf(read.records)).Bool("told", read.former != nil).Bool("whole", read.after == "").
		Int("turn_losses", h.state.allowance.OfOneTurn).Int("losses", h.state.allowance.OfAll).
		Dur("seized_after", seizedAfter).Dur("took", time.Since(started)).Msg("Shard taken over.")
	return nil
}

// checkHolder reads who holds the shard by the directory, and asks that daemon meanwhile
// whether it does, unless it gave the shard up. It fails with errHeld if the shard must be
// left to its holder unasked.
func (h *holder) checkHolder(ctx context.Context, failed uint64, cause string) (before holderRecord, answer holderAnswer, err error) {
	known := h.known.get(h.shard)
	asking, stop := context.WithCancel(ctx)
	defer stop()
	var asked <-chan holderAnswer
	givenUp := known.released || cause == causeTake // by the holder's own word
	if !givenUp {
		asked = h.askHolder(asking, known.holderRecord)
	}
	// One try: who cannot reach the store either must not take the shard the
	// moment it can, from a holder that was in the same trouble.
	before, err = h.readDirectory(ctx)
	if err != nil {
		return before, holderSilent, err
	}
	h.known.note(h.shard, before)
	if h.mustLeaveTo(before, failed) {
		return before, holderSilent, errHeld
	}
	if givenUp {
		return before, holderGone, nil
	}
	return before, h.awaitHolder(asking, before, known.holderRecord, asked), nil
}

// seizedShard is what is known of a shard that was just seized.
type seizedShard struct {
	records []store.Record
	// after is the key after which the turns' texts go on, "" if all was read.
	after string
	// former is what the holder before told, nil if it did not.
	former *formerState
}

// readSeized reads the shard, and meanwhile asks the holder before this one what it
// granted and writes the claim to the directory.
func (h *holder) readSeized(ctx context.Context, before holderRecord, answer holderAnswer) (seizedShard, error) {
	var read seizedShard
	var beside sync.WaitGroup
	beside.Go(func() { h.writeDirectory(ctx, h.epoch) })
	if answer == holderGone { // one that is silent would be waited for in vain once more
		beside.Go(func() { read.former = h.askFormer(ctx, before) })
	}
	var err error
	read.records, read.after, err = h.readClaimed(ctx)
	beside.Wait()
	return read, err
}

// seize makes a higher epoch known to the store. The epoch in the directory
// may be behind: then either another daemon claims the shard at this moment, or
// one died before it wrote there. The shard's own records tell which.
func (h *holder) seize(ctx context.Context, known, failed uint64) error {
	err := h.appendClaim(ctx, nextEpoch(known))
	if !errors.Is(err, store.ErrFenced) {
		return err
	}
	if later, err := h.readDirectory(ctx); err == nil && later.Epoch > known && h.mustLeaveTo(later, failed) {
		h.known.note(h.shard, later)
		return errHeld
	}
	records, _, err := h.readUntilTurns(store.WithPurpose(ctx, store.PurposeShard))
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

// appendClaim appends this daemon's claim under an epoch.
func (h *holder) appendClaim(ctx context.Context, epoch uint64) error {
	h.epoch = epoch
	h.sequence = 1
	ctx = store.WithPurpose(ctx, store.PurposeClaim)
	claim := []store.Record{h.holderRecord(holderKey)}
	err := h.records.appendWithin(ctx, giveUpAfter, h.partition, h.writer(), claim)
	if errors.Is(err, store.ErrFull) && h.makeRoom(ctx) {
		err = h.records.appendWithin(ctx, giveUpAfter, h.partition, h.writer(), claim)
	}
	return err
}

// readDirectory reads who holds the shard.
func (h *holder) readDirectory(ctx context.Context) (holderRecord, error) {
	records, err := h.records.newestOnce(store.WithPurpose(ctx, store.PurposeDirectory), h.directory)
	if err != nil {
		return holderRecord{}, err
	}
	return holderUnder(strconv.Itoa(h.shard), records), nil
}

// writeDirectory tells who holds the shard. A claim that was superseded is
// kept from overwriting the later one by its epoch.
func (h *holder) writeDirectory(ctx context.Context, epoch uint64) {
	key := strconv.Itoa(h.shard)
	writer := store.Writer{Name: writerName + "-" + key, Epoch: epoch, Sequence: 1}
	ctx = store.WithPurpose(ctx, store.PurposeClaim)
	err := h.records.appendWithin(ctx, giveUpAfter, h.directory, writer, []store.Record{h.recordOf(key, epoch)})
	if err != nil {
		h.logger.Warn().Err(err).Uint64("epoch", epoch).Msg("Directory not written.")
	}
}

// take makes what was read the state of the shard. first tells that nobody held it
// before.
func (h *holder) take(records []store.Record, first bool, now time.Time) {
	h.state = newState(now)
	h.state.machine = h.machine
	h.limiter = quota.NewLimiter(h.quotaTerms, first, now)
	h.status.holding.Store(true)
	h.tenure.prolong(now)
	h.known.note(h.shard, holderRecord{Epoch: h.epoch, Daemon: h.daemon})
	for _, record := range records {
		if err := h.state.load(record); err != nil {
			h.metrics.malformed()
			h.logger.Warn().Err(err).Int64("offset", record.Offset).Msg("Record skipped.")
		}
	}
	h.state.restoreAges(now)
	h.appended = newAppendHistory(offsetUnder(holderKey, records)+1, h.state.oldAppends(records, now), now)
	h.state.forfeitHeadroom()
	h.state.openAllowance(holderRecord{Epoch: h.epoch, Daemon: h.daemon}, h.former, now)
	h.former = nil
}

// readClaimed reads the shard, this daemon's claim included: only what came since it
// was read ahead, if that was done lately, or else what comes before the turns' texts.
// after is where these go on, "" if all was read.
func (h *holder) readClaimed(ctx context.Context) (loaded []store.Record, after string, err error) {
	ctx = store.WithPurpose(ctx, store.PurposeShard)
	if ahead := h.takeReadAhead(ctx); ahead != nil {
		loaded, err := h.readOn(ctx, ahead)
		if err == nil {
			return loaded, "", nil
		}
		h.logger.Info().Err(err).Uint64("epoch", h.epoch).Msg("What was read ahead is of no use. The shard is read anew.")
	}
	for range loadTries {
		loaded, after, err := h.readUntilTurns(ctx)
		if err != nil {
			return nil, "", err
		}
		epoch := holderOf(loaded).Epoch
		if epoch == h.epoch {
			return loaded, after, nil
		}
		if epoch > h.epoch {
			return nil, "", store.ErrFenced
		}
	}
	return nil, "", errStale
}

// nextEpoch is above an epoch, and differs from what another daemon chooses at
// the same time.
func nextEpoch(known uint64) uint64 {
	return (known>>epochRandomBits+1)<<epochRandomBits | rand.Uint64N(1<<epochRandomBits)
}

// holderOf returns who holds the shard by its own records.
func holderOf(records []store.Record) holderRecord { return holderUnder(holderKey, records) }

// holderUnder returns the holder that the last record under a key names.
func holderUnder(key string, records []store.Record) holderRecord {
	return lastUnder[holderRecord](key, records)
}

// offsetUnder returns the offset of the last record under a key, -1 if there is none.
func offsetUnder(key string, records []store.Record) int64 {
	offset := int64(-1)
	for _, record := range records {
		if record.Key == key {
			offset = max(offset, record.Offset)
		}
	}
	return offset
}

// lastUnder returns what the last record under a key holds, the zero value if there is none. A
// record that is malformed changes nothing.
func lastUnder[T any](key string, records []store.Record) (found T) {
	for _, record := range records {
		if record.Key == key {
			_ = json.Unmarshal(record.Value, &found) // one that is malformed is none
		}
	}
	return found
}

// holderRecord returns the record of this daemon's latest claim.
func (h *holder) holderRecord(key string) store.Record { return h.recordOf(key, h.epoch) }

// recordOf returns the record of this daemon's claim under an epoch.
func (h *holder) recordOf(key string, epoch uint64) store.Record {
	value, err := json.Marshal(holderRecord{Epoch: epoch, Daemon: h.daemon})
	if err != nil {
		panic(err) // two plain fields
	}
	return store.Record{Key: key, Value: value}
}
