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
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// writerName is the writer name under which the store compares the epochs of a shard.
	writerName = "holder"
	// epochRandomBits distinguish epochs that two daemons choose at the same time.
	epochRandomBits = 20
	// loadTries bounds the reads after a claim.
	loadTries = 3
)

// errHeldElsewhere: another daemon holds the shard and is alive.
var errHeldElsewhere = eris.New("ledger: another daemon holds the shard")

// errStale: a read after a claim does not show the claim.
var errStale = eris.New("ledger: the store's answer does not contain the claim")

// ensureHeld makes sure that this daemon holds the shard, claiming it if necessary, or
// returns the result to refuse operations with. failedEpoch is the epoch of a holder that
// does not answer, and cause the kind of request that the shard is needed for.
func (h *holder) ensureHeld(ctx context.Context, failedEpoch uint64, cause string) (result, bool) {
	now := time.Now()
	switch {
	case h.state != nil:
		return "", false
	case h.isLeaving() && !h.status.isPromised(now), h.releasedTo != "":
		return resultMoved, true
	case h.mustYieldTo(h.known.get(h.shard).holderRecord, failedEpoch):
		return resultMoved, true
	case failedEpoch != 0 && h.isConfirmed(now):
		return resultMoved, true
	case h.retry.mustWait(now), h.records.isDown(now):
		return resultImpaired, true
	}
	h.status.noteProgress()
	h.status.claiming.Store(true)
	defer h.status.claiming.Store(false)
	if err := h.claim(ctx, failedEpoch, cause); err != nil {
		h.status.heldEpoch.Store(0)
		return h.noteLoss(ctx, err), true
	}
	h.retry.pause = 0
	h.status.promisedAt.clear()
	if h.isLeaving() {
		h.leave(ctx) // promised before leaving; the next holder reads the shard ahead meanwhile
	}
	return "", false
}

// mustYieldTo reports whether a shard must be left to its holder: one that may be alive and
// whose claim has not been reported as failed.
func (h *holder) mustYieldTo(holder holderRecord, failedEpoch uint64) bool {
	return holder.Daemon != "" && holder.Daemon != h.daemon && holder.Epoch > failedEpoch && h.fleet.mayBeAlive(holder.Daemon)
}

// claim takes the shard over. It appends the new epoch first, which fences the former
// holder, and reads the shard afterwards, so the read misses no append. The directory is
// only a hint: a claim that dies before it writes there leaves it outdated, and the store
// then rejects the next claim because its epoch is too low.
func (h *holder) claim(ctx context.Context, failedEpoch uint64, cause string) error {
	started := time.Now()
	before, answer, err := h.checkHolder(ctx, failedEpoch, cause)
	if err != nil {
		return err
	}
	if answer == holderKeeps {
		h.confirmed = holderConfirmation{holder: before, at: time.Now()}
		h.metrics.leftToHolder()
		h.logger.Info().Str("holder", before.Daemon).Uint64("epoch", before.Epoch).Uint64("failed", failedEpoch).Str("for", cause).
			Dur("took", time.Since(started)).Msg("Shard left to its holder, which answers.")
		return errHeldElsewhere
	}
	if err := h.seize(ctx, before.Epoch, failedEpoch); err != nil {
		return err
	}
	seizedAfter := time.Since(started)
	h.status.heldEpoch.Store(h.epoch)
	read, err := h.readSeized(ctx, before, answer)
	if err != nil {
		return err
	}
	if read.former == nil {
		read.former = h.askRecordedHolder(ctx, read.records, before)
	}
	if read.former != nil {
		h.former = read.former
	}
	restored := h.installState(read.records, time.Now())
	h.limiter = h.newLimiter(before, answer)
	h.startTextLoad(ctx, read.after)
	h.metrics.claimed(time.Since(started))
	h.logger.Info().Uint64("epoch", h.epoch).Str("before", before.Daemon).Uint64("failed", failedEpoch).Str("for", cause).
		Bool("lives", before.Daemon != "" && h.fleet.mayBeAlive(before.Daemon)).
		EmbedObject(read).EmbedObject(restored).
		Int("turn_losses", h.state.allowance.OfOneTurn).Int("losses", h.state.allowance.OfAll).
		Dur("seized_after", seizedAfter).Dur("took", time.Since(started)).Msg("Shard taken over.")
	return nil
}

// checkHolder reads the shard's holder from the directory and concurrently asks the last
// known holder whether it still holds the shard, unless that holder released it. It fails
// with errHeldElsewhere if the shard must be left to its holder without asking.
func (h *holder) checkHolder(ctx context.Context, failedEpoch uint64, cause string) (before holderRecord, answer holderAnswer, err error) {
	known := h.known.get(h.shard)
	asking, stop := context.WithCancel(ctx)
	defer stop()
	var asked <-chan holderAnswer
	isReleased := known.released || cause == causeTake // as the holder itself said
	if !isReleased {
		asked = h.askHolder(asking, known.holderRecord)
	}
	// A single try: a daemon that could not reach the store either must not, as soon as it
	// can, take the shard from a holder that was affected by the same outage.
	before, err = h.readDirectory(ctx)
	if err != nil {
		return before, holderSilent, err
	}
	h.known.note(h.shard, before)
	if h.mustYieldTo(before, failedEpoch) {
		return before, holderSilent, errHeldElsewhere
	}
	if isReleased {
		return before, holderGone, nil
	}
	return before, h.awaitHolder(asking, before, known.holderRecord, asked), nil
}

// seizedShard is the content of a shard that was just seized.
type seizedShard struct {
	records []store.Record
	// after is the key after which the turns' texts continue, "" if everything was read.
	after string
	// former is the state that the previous holder reported, nil if it did not.
	former *formerState
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (s seizedShard) MarshalZerologObject(event *zerolog.Event) {
	event.Int("records", len(s.records)).Int("bytes", store.SizeOf(s.records)).
		Bool("told", s.former != nil).Bool("whole", s.after == "")
}

// readSeized reads the shard. Concurrently it asks the previous holder what it granted and
// writes the claim to the directory.
func (h *holder) readSeized(ctx context.Context, before holderRecord, answer holderAnswer) (seizedShard, error) {
	var read seizedShard
	var background sync.WaitGroup
	background.Go(func() { h.writeDirectory(ctx, h.epoch) })
	if answer == holderGone { // a silent holder would only time out again
		background.Go(func() { read.former = h.askFormerHolder(ctx, before) })
	}
	var err error
	read.records, read.after, err = h.readClaimed(ctx)
	background.Wait()
	return read, err
}

// seize appends a claim with a higher epoch. The epoch in the directory may be outdated:
// either another daemon is claiming the shard at this moment, or one died before it wrote
// there. The shard's own records tell which.
func (h *holder) seize(ctx context.Context, known, failedEpoch uint64) error {
	err := h.appendClaim(ctx, nextEpoch(known))
	if !errors.Is(err, store.ErrFenced) {
		return err
	}
	if later, err := h.readDirectory(ctx); err == nil && later.Epoch > known && h.mustYieldTo(later, failedEpoch) {
		h.known.note(h.shard, later)
		return errHeldElsewhere
	}
	records, _, err := h.readUntilTurns(store.WithPurpose(ctx, store.PurposeShard))
	if err != nil {
		return err
	}
	before := holderOf(records)
	h.known.note(h.shard, before)
	if h.mustYieldTo(before, failedEpoch) {
		return errHeldElsewhere
	}
	return h.appendClaim(ctx, nextEpoch(before.Epoch))
}

// appendClaim appends this daemon's claim with an epoch.
func (h *holder) appendClaim(ctx context.Context, epoch uint64) error {
	h.epoch = epoch
	h.sequence = 1
	sentAt := time.Now()
	ctx = store.WithPurpose(ctx, store.PurposeClaim)
	claim := []store.Record{h.holderRecord(holderKey)}
	err := h.records.appendWithin(ctx, appendTimeout, h.partition, h.writer(), claim)
	if errors.Is(err, store.ErrFull) && h.makeRoom(ctx) {
		err = h.records.appendWithin(ctx, appendTimeout, h.partition, h.writer(), claim)
	}
	if err == nil {
		h.ownership.provedAt = sentAt
	}
	return err
}

// readDirectory reads the shard's holder from the directory.
func (h *holder) readDirectory(ctx context.Context) (holderRecord, error) {
	records, err := h.records.newestOnce(store.WithPurpose(ctx, store.PurposeDirectory), h.directory)
	if err != nil {
		return holderRecord{}, err
	}
	return latestHolder(strconv.Itoa(h.shard), records), nil
}

// writeDirectory records the holder of the shard in the directory. The epoch keeps a
// superseded claim from overwriting a later one.
func (h *holder) writeDirectory(ctx context.Context, epoch uint64) {
	key := strconv.Itoa(h.shard)
	writer := store.Writer{Name: writerName + "-" + key, Epoch: epoch, Sequence: 1}
	ctx = store.WithPurpose(ctx, store.PurposeClaim)
	err := h.records.appendWithin(ctx, appendTimeout, h.directory, writer, []store.Record{h.recordOf(key, epoch)})
	if err != nil {
		h.logger.Warn().Err(err).Uint64("epoch", epoch).Msg("Claim not written to the directory.")
	}
}

// installState makes the records that were read the state of the shard, and describes its
// accounts.
func (h *holder) installState(records []store.Record, now time.Time) restoredAccounts {
	h.state = newState(now)
	h.state.machine = h.machine
	h.state.maxTextBytes = maxTextBytes(h.bounds)
	h.status.holding.Store(true)
	h.tenure.prolong(now)
	h.known.note(h.shard, holderRecord{Epoch: h.epoch, Daemon: h.daemon})
	for _, record := range records {
		if err := h.state.load(record); err != nil {
			h.metrics.malformed()
			h.logger.Warn().Err(err).Int64("offset", record.Offset).Msg("Malformed record skipped.")
		}
	}
	h.state.restoreAges(h.former, now)
	h.appended = newAppendHistory(latestOffset(holderKey, records)+1, h.state.oldHistoryEnd(records, now), now)
	restored := h.state.describeRestored(h.former, now)
	h.state.forfeitHeadroom()
	h.state.openAllowance(holderRecord{Epoch: h.epoch, Daemon: h.daemon}, h.former, now)
	h.former = nil
	return restored
}

// readClaimed reads the shard, including this daemon's claim. If the shard was read ahead
// recently, it reads only what was appended since; otherwise it reads the records that sort
// before the turns' texts. after is the key after which the texts continue, "" if
// everything was read.
func (h *holder) readClaimed(ctx context.Context) (loaded []store.Record, after string, err error) {
	ctx = store.WithPurpose(ctx, store.PurposeShard)
	if ahead := h.takeReadAhead(ctx); ahead != nil {
		loaded, err := h.catchUp(ctx, ahead)
		if err == nil {
			return loaded, "", nil
		}
		h.logger.Info().Err(err).Uint64("epoch", h.epoch).Msg("Records read ahead cannot be used. The shard is read from the start.")
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

// nextEpoch returns an epoch above a known one that differs from what another daemon
// chooses at the same time.
func nextEpoch(known uint64) uint64 {
	return (known>>epochRandomBits+1)<<epochRandomBits | rand.Uint64N(1<<epochRandomBits)
}

// holderOf returns the holder of the shard according to its own records.
func holderOf(records []store.Record) holderRecord { return latestHolder(holderKey, records) }

// latestHolder returns the holder named by the last record with a key.
func latestHolder(key string, records []store.Record) holderRecord {
	return latestValue[holderRecord](key, records)
}

// latestOffset returns the offset of the last record with a key, -1 if there is none.
func latestOffset(key string, records []store.Record) int64 {
	offset := int64(-1)
	for _, record := range records {
		if record.Key == key {
			offset = max(offset, record.Offset)
		}
	}
	return offset
}

// latestValue returns the value of the last record with a key, the zero value if there is
// none. Malformed records are ignored.
func latestValue[T any](key string, records []store.Record) (found T) {
	for _, record := range records {
		if record.Key == key {
			_ = json.Unmarshal(record.Value, &found) // malformed records are ignored
		}
	}
	return found
}

// holderRecord returns the record of this daemon's latest claim.
func (h *holder) holderRecord(key string) store.Record { return h.recordOf(key, h.epoch) }

// recordOf returns the record of this daemon's claim with an epoch.
func (h *holder) recordOf(key string, epoch uint64) store.Record {
	value, err := json.Marshal(holderRecord{Epoch: epoch, Daemon: h.daemon})
	if err != nil {
		panic(err) // cannot fail: two plain fields
	}
	return store.Record{Key: key, Value: value}
}
