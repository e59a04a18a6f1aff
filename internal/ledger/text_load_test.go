package ledger

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// gatedStore returns pages of two records. Pages of texts after the first are returned only
// once the gate is open.
type gatedStore struct {
	store.Store
	gate   chan struct{}
	failed bool
}

// NewestPage implements store.Store.
func (s *gatedStore) NewestPage(ctx context.Context, partition store.Partition, after string) (store.Page, error) {
	if after >= turnPrefix {
		if s.failed {
			return store.Page{}, store.ErrUnavailable
		}
		select {
		case <-s.gate:
		case <-ctx.Done():
			return store.Page{}, store.ErrOutcomeUnknown
		}
	}
	page, err := s.Store.NewestPage(ctx, partition, after)
	if partition.Space == "ledger" && len(page.Records) > 2 {
		page.Records, page.More = page.Records[:2], true
	}
	return page, err
}

// newGatedFleet returns a fleet that lost the holder of a shard with a chain of turns, t-1
// to t-last, and the store that gates their texts.
func newGatedFleet(t *testing.T, last int) (*testFleet, *gatedStore) {
	f := newTestFleet(t, 0)
	gated := &gatedStore{Store: f.store, gate: make(chan struct{})}
	f.storeOf = func(structs.DaemonID) store.Store { return gated }
	for i := range 3 {
		f.start(daemonID(i, 1))
	}
	s := f.service(daemonID(0, 1))
	previous := ""
	for i := 1; i <= last; i++ {
		id := fmt.Sprint("t-", i)
		complete(t, s, "p", id, previous)
		previous = id
	}
	f.kill(f.holderOf("p"))
	return f, gated
}

// TestClaimServesBeforeTextsAreRead: a turn that begins a chain waits for the accounts
// only; one that continues from another waits for its text, and gets all of it.
func TestClaimServesBeforeTextsAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, gated := newGatedFleet(t, 5)
		s := f.service(f.ids()[0])
		begin(t, s, Turn{ID: "new", Program: "p", BudgetTokens: 1000, MaxTokens: 10})
		goesOn := make(chan string, 1)
		go func() {
			goesOn <- begin(t, s, Turn{ID: "next", Program: "p", BudgetTokens: 1000, MaxTokens: 10, Previous: "t-5"})
		}()
		time.Sleep(time.Second)
		select {
		case got := <-goesOn:
			t.Fatalf("a turn began with %q before its text was read", got)
		default:
		}
		close(gated.gate)
		if got, want := <-goesOn, "in-t-1 out-t-1 in-t-2 out-t-2 in-t-3 out-t-3 in-t-4 out-t-4 in-t-5 out-t-5 "; got != want {
			t.Errorf("the turn continues from %q, want %q", got, want)
		}
	})
}

// TestTextsThatAreNotReadAreNotUnknown: while the store does not return the rest of a
// shard, a turn that may be there is neither found nor unknown.
func TestTextsThatAreNotReadAreNotUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, gated := newGatedFleet(t, 5)
		gated.failed = true
		s := f.service(f.ids()[0])
		begin(t, s, Turn{ID: "new", Program: "p", BudgetTokens: 1000, MaxTokens: 10})
		for _, previous := range []string{"t-5", "never"} {
			ctx, cancel := context.WithTimeout(t.Context(), callersPatience)
			_, err := s.Begin(ctx, Turn{ID: "next-" + previous, Program: "p", BudgetTokens: 1000, MaxTokens: 10, Previous: previous})
			cancel()
			if !errors.Is(err, ErrUnavailable) {
				t.Errorf("a turn after %s: %v, want %v", previous, err, ErrUnavailable)
			}
		}
		started := time.Now()
		next := Turn{ID: "asked", Program: "p", BudgetTokens: 1000, MaxTokens: 10, Previous: "t-5"}
		holder := f.service(f.holderOf("p"))
		if got := askHolder(t, holder, Request{Begin: &next}); got != resultImpaired || time.Since(started) > 2*textRetryInterval {
			t.Errorf("an operation that waits for a text got %q after %s", got, time.Since(started))
		}
		gated.failed = false
		close(gated.gate)
		refusedWith(t, s, Turn{ID: "later", Program: "p", BudgetTokens: 1000, MaxTokens: 10, Previous: "never"}, ErrUnknownTurn)
		begin(t, s, Turn{ID: "last", Program: "p", BudgetTokens: 1000, MaxTokens: 10, Previous: "t-5"})
	})
}

// TestChainsAreKeptWhoseTextsAreRead: the first turn of a chain is kept as long as its
// last, even if it was read long before.
func TestChainsAreKeptWhoseTextsAreRead(t *testing.T) {
	now := time.Now()
	s := newState(now)
	s.clock = shardClock{shown: time.Hour, since: now}
	record := func(id, previous string, usedAt time.Duration) store.Record {
		value, err := encodeTurn(&turnEntry{KeptTurn: KeptTurn{ID: id, Previous: previous}, RetentionMS: 1000, UsedAtMS: usedAt.Milliseconds()})
		if err != nil {
			t.Fatal(err)
		}
		return store.Record{Key: turnPrefix + id, Value: value}
	}
	for _, r := range []store.Record{record("a", "", time.Minute), record("b", "a", time.Hour)} {
		if err := s.loadLate(r); err != nil {
			t.Fatal(err)
		}
	}
	s.restoreChains()
	s.expire(now.Add(time.Second), expireLimit)
	if !s.hasChain("b") {
		t.Error("the first turn of a chain was dropped before its last")
	}
}

// TestWantedTextsAreReadFirst: they do not queue behind texts that no operation waits
// for.
func TestWantedTextsAreReadFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bound := make(semaphore, 1)
		release, err := bound.acquire(t.Context(), func() {})
		if err != nil {
			t.Fatal(err)
		}
		wanted := make(chan struct{})
		time.AfterFunc(100*time.Millisecond, func() { close(wanted) })
		started := time.Now()
		if _, err := bound.acquireUnless(t.Context(), wanted, func() {}); err != nil || time.Since(started) != 100*time.Millisecond {
			t.Errorf("texts that became urgent waited for %s, %v", time.Since(started), err)
		}
		release()
		if _, err := bound.acquire(t.Context(), func() {}); err != nil {
			t.Errorf("the slot was not released: %v", err)
		}
		ended, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := bound.acquire(ended, func() {}); !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("a second slot: %v, want %v", err, store.ErrUnavailable)
		}
	})
}
