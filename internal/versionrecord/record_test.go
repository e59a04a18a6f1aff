package versionrecord

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/memory"
)

const keepFor = 10 * time.Second

// testList is a list of back ends' versions that changes.
type testList struct {
	mutex    sync.Mutex
	versions map[string][]string
}

func (l *testList) set(versions map[string][]string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.versions = versions
}

func (l *testList) get() map[string][]string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.versions
}

func startKeeper(ctx context.Context, s store.Store, list *testList, isWriter bool) *Keeper {
	k := New(Options{
		Store: s, Listed: list.get, IsWriter: func() bool { return isWriter }, KeepFor: func() time.Duration { return keepFor }, Logger: zerolog.Nop(),
	})
	go k.Run(ctx)
	return k
}

func recordedIn(t *testing.T, s store.Store) map[string][]string {
	t.Helper()
	recorded, err := New(Options{Store: s}).read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return recorded
}

func TestVersionThatLeftWhileAllWereDownIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		list := &testList{versions: map[string][]string{"s": {"v1"}, "other": {"v7"}}}
		life, kill := context.WithCancel(t.Context())
		startKeeper(life, s, list, true)
		time.Sleep(time.Second)
		kill()
		list.set(map[string][]string{"s": {"v2"}, "other": {"v7"}})
		ctx, end := context.WithCancel(t.Context())
		defer end()
		k := startKeeper(ctx, s, list, true)
		time.Sleep(time.Second)
		if !k.MayHaveServed("s", "v2") || k.MayHaveServed("other", "v7") || k.MayHaveServed("new", "v1") {
			t.Error("want that another version than v2 may have served s, none but v7 the other, and none a new service")
		}
		if diff := cmp.Diff(map[string][]string{"s": {"v1", "v2"}, "other": {"v7"}}, recordedIn(t, s)); diff != "" {
			t.Errorf("record (-want +got):\n%s", diff)
		}
		time.Sleep(keepFor + time.Second)
		if diff := cmp.Diff(map[string][]string{"s": {"v2"}, "other": {"v7"}}, recordedIn(t, s)); diff != "" {
			t.Errorf("record once the version is not kept any more (-want +got):\n%s", diff)
		}
	})
}

func TestWritersDoNotUndoEachOthersChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countingStore{Store: memory.New()}
		list := &testList{versions: map[string][]string{"s": {"v1", "v2"}}}
		ctx, end := context.WithCancel(t.Context())
		defer end()
		for range 3 {
			startKeeper(ctx, s, list, true)
		}
		startKeeper(ctx, s, list, false)
		time.Sleep(time.Second)
		list.set(map[string][]string{"s": {"v2"}})
		time.Sleep(3 * keepFor)
		if diff := cmp.Diff(map[string][]string{"s": {"v2"}}, recordedIn(t, s)); diff != "" {
			t.Errorf("record (-want +got):\n%s", diff)
		}
		if appends := s.count(); appends > 6 {
			t.Errorf("%d appends of three writers for two changes, want at most 6", appends)
		}
	})
}

func TestRecordThatCanNotBeReadSaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countingStore{Store: memory.New(), failsUntil: time.Now().Add(5 * time.Second)}
		list := &testList{versions: map[string][]string{"s": {"v1"}}}
		ctx, end := context.WithCancel(t.Context())
		defer end()
		k := startKeeper(ctx, s, list, true)
		time.Sleep(4 * time.Second)
		if !k.MayHaveServed("s", "v1") {
			t.Error("the record was not read, but no other version may have served")
		}
		time.Sleep(4 * time.Second)
		if k.MayHaveServed("s", "v1") {
			t.Error("the record was read and is empty, but another version may have served")
		}
	})
}

// countingStore counts appends, and fails until a time.
type countingStore struct {
	store.Store
	failsUntil time.Time
	mutex      sync.Mutex
	appends    int
}

func (s *countingStore) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.appends
}

func (s *countingStore) Append(ctx context.Context, p store.Partition, w store.Writer, records []store.Record) error {
	s.mutex.Lock()
	s.appends++
	s.mutex.Unlock()
	return s.Store.Append(ctx, p, w, records)
}

func (s *countingStore) NewestPage(ctx context.Context, p store.Partition, after string) (store.Page, error) {
	if time.Now().Before(s.failsUntil) {
		return store.Page{}, errors.Join(store.ErrUnavailable)
	}
	return s.Store.NewestPage(ctx, p, after)
}
