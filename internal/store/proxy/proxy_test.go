package proxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/memory"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// directFault is the fault of one daemon's direct connection to the store.
type directFault int

const (
	noFault directFault = iota
	refused
	silent
)

// directStore is one daemon's direct connection to the store.
type directStore struct {
	*memory.Store
	// arrivalTime is how long the answers of reads take to arrive, piece by piece.
	arrivalTime time.Duration
	mutex       sync.Mutex
	fault       directFault
	calls       int
}

func (w *directStore) set(to directFault) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.fault = to
}

func (w *directStore) count() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.calls
}

// checkFault counts a call and returns the error of the current fault, if there is one.
func (w *directStore) checkFault(ctx context.Context) error {
	w.mutex.Lock()
	w.calls++
	now := w.fault
	w.mutex.Unlock()
	time.Sleep(2 * time.Millisecond)
	switch now {
	case refused:
		return store.ErrUnavailable
	case silent:
		<-ctx.Done()
		return store.ErrOutcomeUnknown
	}
	return nil
}

func (w *directStore) Append(ctx context.Context, p store.Partition, by store.Writer, records []store.Record) error {
	if err := w.checkFault(ctx); err != nil {
		return err
	}
	return w.Store.Append(ctx, p, by, records)
}

func (w *directStore) NewestPage(ctx context.Context, p store.Partition, after string) (store.Page, error) {
	if err := w.checkFault(ctx); err != nil {
		return store.Page{}, err
	}
	return w.Store.NewestPage(ctx, p, after)
}

func (w *directStore) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	if err := w.checkFault(ctx); err != nil {
		return nil, from, err
	}
	for began := time.Now(); time.Since(began) < w.arrivalTime; time.Sleep(50 * time.Millisecond) {
		store.ProgressOf(ctx).AddBytes(1)
	}
	return w.Store.Read(ctx, p, from, wait)
}

// fleet is a set of daemons that share one store.
type fleet struct {
	store        *memory.Store
	ids          []structs.DaemonID
	directStores []*directStore
	services     []*Service

	mutex        sync.Mutex
	disconnected map[structs.DaemonID]bool
	sent         int
	// sentBy counts the messages by sender.
	sentBy map[string]int
}

func newFleet(daemons int) *fleet {
	f := &fleet{store: memory.New(), disconnected: map[structs.DaemonID]bool{}, sentBy: map[string]int{}}
	for i := range daemons {
		id := structs.NewDaemonID(fmt.Sprintf("10.0.0.%d:7000", i+1), 1)
		f.ids = append(f.ids, id)
		f.directStores = append(f.directStores, &directStore{Store: f.store})
		f.services = append(f.services, New(Options{
			Self: id, Direct: f.directStores[i], Transport: &transport{fleet: f, self: id}, View: f,
			Random: rand.New(rand.NewPCG(1, uint64(i))), Logger: zerolog.Nop(), Metrics: NewMetrics(prometheus.NewRegistry()),
		}))
	}
	return f
}

func (f *fleet) disconnect(id structs.DaemonID) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.disconnected[id] = true
}

// Members implements membership.View.
func (f *fleet) Members() []membership.Member {
	var members []membership.Member
	for _, id := range f.ids {
		members = append(members, membership.Member{Daemon: structs.Daemon{ID: id}, State: membership.StateAlive})
	}
	return members
}

// State implements membership.View.
func (f *fleet) State(structs.DaemonID) membership.State { return membership.StateAlive }

// Subscribe implements membership.View.
func (f *fleet) Subscribe(func(membership.Member)) {}

// transport delivers one daemon's messages, encoded and decoded.
type transport struct {
	fleet *fleet
	self  structs.DaemonID
}

// Send implements peer.Transport.
func (t *transport) Send(to structs.DaemonID, message peer.Message) {
	line, err := peer.Encode(t.self, to, message)
	if err != nil {
		panic(err)
	}
	t.fleet.mutex.Lock()
	t.fleet.sent++
	t.fleet.sentBy[string(t.self)]++
	lost := t.fleet.disconnected[to] || t.fleet.disconnected[t.self]
	t.fleet.mutex.Unlock()
	for i, id := range t.fleet.ids {
		if id == to && !lost {
			go func() {
				time.Sleep(time.Millisecond)
				from, _, decoded, err := peer.Decode(line)
				if err != nil {
					panic(err)
				}
				t.fleet.services[i].Receive(from, decoded)
			}()
		}
	}
}

var (
	partition = store.Partition{Space: "x", Number: 3}
	record    = store.Record{Key: "k", Value: []byte("v")}
)

func timeoutContext(t *testing.T, limit time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	return ctx
}

func TestDaemonThatTheStoreDoesNotServeCallsItByWayOfAnother(t *testing.T) {
	for name, how := range map[string]directFault{"refused": refused, "silent": silent} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(3)
				f.directStores[0].set(how)
				s := f.services[0]
				for number := range uint64(4) {
					writer := store.Writer{Name: "w", Epoch: 7, Sequence: number + 1}
					if err := s.Append(timeoutContext(t, 500*time.Millisecond), partition, writer, []store.Record{record}); err != nil {
						t.Fatalf("append %d: %v", number, err)
					}
				}
				got, end, err := store.Newest(timeoutContext(t, 500*time.Millisecond), s, partition)
				if err != nil || end != 4 {
					t.Fatalf("newest: end %d, %v", end, err)
				}
				want := []store.Record{{Key: "k", Value: []byte("v"), Offset: 3}}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("newest (-want +got):\n%s", diff)
				}
				if got, next, err := s.Read(timeoutContext(t, time.Second), partition, 2, 100*time.Millisecond); err != nil || len(got) != 2 || next != 4 {
					t.Errorf("read: %d records, next %d, %v", len(got), next, err)
				}
				if s.IsIsolated() {
					t.Error("considers itself isolated")
				}
			})
		})
	}
}

func TestSupersededWriterIsFencedByWayOfAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		ctx := timeoutContext(t, 10*time.Second)
		if err := f.services[1].Append(ctx, partition, store.Writer{Name: "w", Epoch: 2, Sequence: 1}, nil); err != nil {
			t.Fatal(err)
		}
		f.directStores[0].set(refused)
		err := f.services[0].Append(ctx, partition, store.Writer{Name: "w", Epoch: 1, Sequence: 1}, []store.Record{record})
		if !errors.Is(err, store.ErrFenced) {
			t.Errorf("got %v, want %v", err, store.ErrFenced)
		}
		err = f.services[0].Append(ctx, partition, store.Writer{Name: "w", Epoch: 2, Sequence: 9}, []store.Record{record})
		if !errors.Is(err, store.ErrSequence) {
			t.Errorf("got %v, want %v", err, store.ErrSequence)
		}
	})
}

func TestSilentHelperIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		f.directStores[0].set(refused)
		f.disconnect(f.ids[1])
		f.disconnect(f.ids[2])
		done := 0
		for range 8 {
			if f.services[0].Append(timeoutContext(t, time.Second), partition, store.Writer{}, []store.Record{record}) == nil {
				done++
			}
		}
		if done < 6 {
			t.Errorf("%d of 8 appends succeeded by way of the one helper that answers", done)
		}
	})
}

func TestOutageForAllCostsFewCallsAndItsEndIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons, length = 8, 10 * time.Second
		f := newFleet(daemons)
		for _, w := range f.directStores {
			w.set(refused)
		}
		ctx, stop := context.WithCancel(t.Context())
		var callers sync.WaitGroup
		for _, s := range f.services {
			for range 3 { // callers that wait for the store retry all the time
				callers.Go(func() {
					for ctx.Err() == nil {
						_ = s.Append(ctx, partition, store.Writer{}, []store.Record{record})
						time.Sleep(20 * time.Millisecond)
					}
				})
			}
		}
		time.Sleep(length)
		stop()
		callers.Wait()
		calls := 0
		for _, w := range f.directStores {
			calls += w.count()
		}
		if most := daemons * int(length/probeInterval) * 2; calls > most {
			t.Errorf("%d calls in an outage of %s for %d daemons, want %d at most", calls, length, daemons, most)
		}
		if f.sent > calls*4 {
			t.Errorf("%d messages between daemons for %d calls", f.sent, calls)
		}
		var heard []<-chan struct{}
		for _, s := range f.services {
			heard = append(heard, s.Recovered())
		}
		for _, w := range f.directStores {
			w.set(noFault)
		}
		time.Sleep(probeInterval) // the next probe may be made
		if err := f.services[3].Append(t.Context(), partition, store.Writer{}, []store.Record{record}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
		for i := range heard {
			select {
			case <-heard[i]:
			default:
				t.Errorf("daemon %d does not know that the store answers again", i)
			}
			if err := f.services[i].Append(timeoutContext(t, 50*time.Millisecond), partition, store.Writer{}, []store.Record{record}); err != nil {
				t.Errorf("daemon %d: %v", i, err)
			}
		}
	})
}

func TestDaemonThatReachesNobodyIsIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		f.directStores[0].set(silent)
		f.disconnect(f.ids[0])
		for range 6 {
			_ = f.services[0].Append(timeoutContext(t, 500*time.Millisecond), partition, store.Writer{}, []store.Record{record})
		}
		if !f.services[0].IsIsolated() {
			t.Error("does not consider itself isolated")
		}
		if f.services[1].IsIsolated() {
			t.Error("another daemon considers itself isolated")
		}
		// In an outage for all daemons there is nobody to hand work over to.
		f = newFleet(3)
		for _, w := range f.directStores {
			w.set(refused)
		}
		for range 6 {
			_ = f.services[0].Append(timeoutContext(t, 500*time.Millisecond), partition, store.Writer{}, []store.Record{record})
			time.Sleep(400 * time.Millisecond)
		}
		if f.services[0].IsIsolated() {
			t.Error("considers itself isolated in an outage for all daemons")
		}
	})
}

func TestHelpIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.directStores[0].set(refused)
		f.directStores[1].set(silent)
		var callers sync.WaitGroup
		for range 4 * maxServing {
			callers.Go(func() {
				_, _, _ = store.Newest(timeoutContext(t, 400*time.Millisecond), f.services[0], partition)
			})
		}
		time.Sleep(100 * time.Millisecond)
		if calls := f.directStores[1].count(); calls > maxServing {
			t.Errorf("a daemon makes %d calls at a time for another, want %d at most", calls, maxServing)
		}
		callers.Wait()
		time.Sleep(2 * time.Second) // the helper's calls end
	})
}

func TestUnknownCallsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		s := f.services[1]
		number, answers, forget := s.replies.Expect(1)
		defer forget()
		f.services[0].serve(s.Self, &Request{Number: number, Call: "drop", WithinMS: 100})
		if got := <-answers; got.Result != resultUnavailable {
			t.Errorf("got %q", got.Result)
		}
		s.Receive(f.services[0].Self, &Response{Number: 77}) // no call waits for it
		if got := (&Response{Result: "new"}).outcome().err; !errors.Is(got, store.ErrOutcomeUnknown) {
			t.Errorf("an unknown result: got %v", got)
		}
	})
}

// TestSlowPageIsNotReadTwice checks that a page which takes as long as recent pages of its space is
// not read by way of a helper, too.
func TestSlowPageIsNotReadTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		s := f.services[0]
		for _, took := range []time.Duration{400, 400, 20, 400} { // the last page of a listing is short
			f.store.SetDelay(took * time.Millisecond)
			if _, err := s.NewestPage(timeoutContext(t, 2*time.Second), partition, ""); err != nil {
				t.Fatal(err)
			}
		}
		if got := f.directStores[1].count(); got != 1 {
			t.Errorf("the helper made %d calls, want one, for the first page", got)
		}
	})
}

// TestSilenceIsNoticedByCallsWithoutALimit checks that a daemon without requests, whose only calls
// have no deadline, notices that the store does not answer.
func TestSilenceIsNoticedByCallsWithoutALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.directStores[0].set(silent)
		f.disconnect(f.ids[1])
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _, _ = f.services[0].Read(ctx, partition, 0, time.Second) // canceled below
		}()
		time.Sleep(time.Second + silenceTimeout + 10*time.Millisecond)
		if f.services[0].connectivity.failingFor(time.Now()) == 0 {
			t.Error("the store counts as reachable although it did not answer")
		}
		cancel()
		<-done
	})
}

// TestReadThatArrivesIsNotRepeated checks that a read whose answer is still arriving is not
// repeated by way of a helper: a large record takes small machines long.
func TestReadThatArrivesIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.directStores[0].arrivalTime = time.Second
		if _, _, err := f.services[0].Read(timeoutContext(t, 5*time.Second), partition, 0, 0); err != nil {
			t.Fatal(err)
		}
		if got := f.directStores[1].count(); got != 0 {
			t.Errorf("the helper made %d calls for a read whose answer was arriving", got)
		}
	})
}

// TestSlowPageIsReadByWayOfAHelper checks that a helper has enough time for a slow page.
func TestSlowPageIsReadByWayOfAHelper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.store.SetDelay(900 * time.Millisecond)
		f.directStores[0].set(refused)
		if _, err := f.services[0].NewestPage(timeoutContext(t, 3*time.Second), partition, ""); err != nil {
			t.Errorf("a page that takes 0.9 s: %v", err)
		}
	})
}

// busyDirectStore delays one kind of call while others are answered at once.
type busyDirectStore struct {
	*directStore
	late time.Duration
}

func (w *busyDirectStore) NewestPage(ctx context.Context, p store.Partition, after string) (store.Page, error) {
	select {
	case <-time.After(w.late):
	case <-ctx.Done():
		return store.Page{}, store.ErrOutcomeUnknown
	}
	return w.directStore.NewestPage(ctx, p, after)
}

// TestBusyStoreIsNotConsideredUnreachable checks that a late call neither goes to a helper nor
// counts as an outage while the store answers other calls.
func TestBusyStoreIsNotConsideredUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		s := f.services[0]
		s.Direct = &busyDirectStore{directStore: f.directStores[0], late: 600 * time.Millisecond}
		appending, stop := context.WithCancel(t.Context())
		var workers sync.WaitGroup
		workers.Go(func() {
			for appending.Err() == nil {
				if err := s.Append(t.Context(), partition, store.Writer{}, []store.Record{record}); err != nil {
					t.Error(err)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
		bulk := store.WithPurpose(t.Context(), store.PurposeShard)
		if _, err := s.NewestPage(bulk, partition, ""); err != nil {
			t.Error(err)
		}
		for range 3 { // calls that their caller cancels
			ctx, cancel := context.WithTimeout(bulk, 500*time.Millisecond)
			_, _ = s.NewestPage(ctx, partition, "")
			cancel()
			time.Sleep(5 * time.Millisecond)
			if failing := s.connectivity.failingFor(time.Now()); failing > 0 {
				t.Errorf("the store counts as unreachable for %s", failing)
			}
		}
		stop()
		workers.Wait()
		if got := f.directStores[1].count(); got > 0 {
			t.Errorf("the helper made %d calls, want none", got)
		}
	})
}
