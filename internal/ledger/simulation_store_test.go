package ledger_test

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// wayToStore is the highest one-way latency to the store.
	wayToStore = 4 * time.Millisecond
	// latestAppend is the longest delay of an append that is applied late.
	latestAppend = 6 * time.Second
)

// simulatedStore is one incarnation's access to the store.
type simulatedStore struct {
	world  *world
	daemon *simulatedDaemon
	run    uint64
}

// reach waits until a call reaches the store; an error means that it does not.
func (s *simulatedStore) reach(ctx context.Context) error {
	w := s.world
	w.awaitThaw(s.daemon)
	f := look(w, func() faults { return w.faults })
	silent := look(w, func() bool { return s.daemon.cut }) || f.storeDown && f.storeSilent
	if silent {
		<-ctx.Done()
		return store.ErrOutcomeUnknown
	}
	clock.Sleep(ctx, w.between(0, time.Duration(f.slowness)*wayToStore))
	if f.storeDown {
		return store.ErrUnavailable
	}
	return nil
}

// Append implements store.Store.
func (s *simulatedStore) Append(ctx context.Context, partition store.Partition, by store.Writer, records []store.Record) error {
	w := s.world
	if err := s.reach(ctx); err != nil {
		return err
	}
	f := look(w, func() faults { return w.faults })
	do := func() error { return w.store.Append(context.Background(), partition, by, records) }
	switch {
	case ctx.Err() != nil || !w.isRunning(s.daemon, s.run):
		if w.chance(0.5) {
			_ = do() // it was under way
		}
		return store.ErrOutcomeUnknown
	case w.chance(f.doLate):
		go func() {
			time.Sleep(w.between(0, latestAppend))
			_ = do()
		}()
		<-ctx.Done()
		return store.ErrOutcomeUnknown
	case w.chance(f.loseAnswers):
		_ = do()
		<-ctx.Done()
		return store.ErrOutcomeUnknown
	}
	if w.breakage == breakDurability && by.Sequence > 1 && w.chance(0.1) {
		return nil
	}
	err := do()
	clock.Sleep(ctx, w.between(0, time.Duration(f.slowness)*wayToStore))
	if ctx.Err() != nil {
		return store.ErrOutcomeUnknown
	}
	return err
}

// NewestPage implements store.Store.
func (s *simulatedStore) NewestPage(ctx context.Context, partition store.Partition, after string) (store.Page, error) {
	if err := s.reach(ctx); err != nil {
		return store.Page{}, err
	}
	page, err := s.world.store.NewestPage(ctx, partition, after)
	if ctx.Err() != nil {
		return store.Page{}, store.ErrOutcomeUnknown
	}
	page.Records = s.world.breakage.spoil(page.Records)
	return page, err
}

// Read implements store.Store.
func (s *simulatedStore) Read(ctx context.Context, partition store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	if err := s.reach(ctx); err != nil {
		return nil, from, err
	}
	records, next, err := s.world.store.Read(ctx, partition, from, wait)
	if ctx.Err() != nil {
		return nil, from, store.ErrOutcomeUnknown
	}
	return s.world.breakage.spoil(records), next, err
}

// Trim implements store.Store.
func (s *simulatedStore) Trim(ctx context.Context, partition store.Partition, before int64) error {
	if err := s.reach(ctx); err != nil {
		return err
	}
	return s.world.store.Trim(ctx, partition, before)
}

// breakage is a protection that is disabled, to show that the checks detect what it
// protects from.
type breakage string

const (
	breakNothing breakage = ""
	// breakFencing: the store accepts appends of superseded holders.
	breakFencing breakage = "fencing"
	// breakDurability: the store acknowledges appends that it does not apply.
	breakDurability breakage = "durability"
	// breakHeadroom: a daemon that takes a shard over does not count headroom as spent.
	breakHeadroom breakage = "headroom"
	// breakAllowance: a daemon that takes a shard over does not count the allowance as
	// spent.
	breakAllowance breakage = "allowance"
	// breakReservations: a daemon that takes a shard over forgets reservations.
	breakReservations breakage = "reservations"
	// breakEarlyEnd: callers continue from turns that are not recorded yet.
	breakEarlyEnd breakage = "early-end"
)

// spoil removes from records the field that a disabled protection would not consider.
func (b breakage) spoil(records []store.Record) []store.Record {
	broken := map[breakage]struct{ keys, field string }{
		breakHeadroom:     {"account/", "headroom"},
		breakReservations: {"account/", "reserved"},
		breakAllowance:    {"allowance", "epoch"},
	}[b]
	if broken.field == "" {
		return records
	}
	for i, record := range records {
		if !strings.HasPrefix(record.Key, broken.keys) {
			continue
		}
		fields := map[string]json.RawMessage{}
		if json.Unmarshal(record.Value, &fields) != nil {
			continue
		}
		delete(fields, broken.field)
		records[i].Value, _ = json.Marshal(fields)
	}
	return records
}
