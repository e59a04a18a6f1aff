package poison

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// pausePerDaemon times the number of daemons is the time between two reads of the store by one
	// daemon, up to maxPause: while back ends end, each append is read by all.
	pausePerDaemon = time.Millisecond
	maxPause       = 100 * time.Millisecond
	// listWait is how long after the start requests wait for the first list of suspects.
	listWait = time.Second
	// sweepInterval is the mean time between two removals of contents whose lifetime is over. It
	// varies by half, so that not all daemons remove the same.
	sweepInterval = time.Minute
)

// watchSettings: reads are rarely answered, as sends are rarely stored.
var watchSettings = store.WatchSettings{
	Wait: 10 * time.Second, AnswerTimeout: 400 * time.Millisecond, RetryInterval: 150 * time.Millisecond,
}

// Options configure a Guard.
type Options struct {
	Self structs.DaemonID
	// Store takes the sends, and Records is where they are read. List lists them.
	Store   store.Store
	Records store.Store
	List    func(context.Context) (store.Listing, error)
	// Connectivity reports when the store answers again; nil if that is not known.
	Connectivity store.Connectivity
	Teller       Teller
	// IsRunning reports whether a back end is known to run, by its ID; nil if that is not known.
	IsRunning func(instance string) bool
	View      membership.View
	Logger    zerolog.Logger
	Metrics   *Metrics
}

// Teller tells other daemons of records that the store has not taken; they get them by ReceiveTold.
type Teller interface {
	Tell(to structs.DaemonID, partition store.Partition, records []store.Record, keep bool)
}

// Guard decides whether a content may be sent to a back end. The contents under which back ends
// ended are in the store, which all daemons follow: a daemon that sends one of them reserves that
// first, and the reservations take turns in the order of the store's log. It is safe for concurrent
// use.
type Guard struct {
	Options
	table table
	// daemons are the latest runs of the daemons.
	daemons *latestRuns
	// answers are the contents that were answered through this daemon.
	answers answers
	// detached are the Trackers whose requests have ended.
	detached detachedTrackers
	writer   *writer
	// refresh requests a read of the store that does not wait.
	refresh chan struct{}
	// listed is closed once the suspects were listed, or requests do not wait for that any more.
	listed     chan struct{}
	listedOnce sync.Once

	mutex sync.Mutex
	// reserving holds the contents for which a request of this daemon has a reservation, or waits
	// for one. Other requests with the same content wait for that.
	reserving map[Digest]*Tracker
	// released holds this daemon's reservations that it has released lately.
	released map[sendKey]released
}

// released is a reservation that was released.
type released struct {
	at time.Time
	// write is the latest write that deletes the reservation.
	write *write
}

// lateAppendTime is how long after its call an append may still take effect.
const lateAppendTime = time.Minute

// NewGuard returns a Guard. It knows no suspects until Run is called.
func NewGuard(options Options) *Guard {
	if options.Connectivity == nil {
		options.Connectivity = store.UnknownConnectivity{}
	}
	g := &Guard{
		Options: options, daemons: newLatestRuns(options.View), refresh: make(chan struct{}, 1), listed: make(chan struct{}),
		writer:    newWriter(options.Store, options.Logger, options.Metrics),
		reserving: map[Digest]*Tracker{}, released: map[sendKey]released{},
	}
	g.table = newTable(knownRuns{isInstanceRunning: options.IsRunning, daemons: g.daemons})
	options.Metrics.observe(&g.table)
	return g
}

// Run follows the suspects in the store, and stores what this daemon sees, until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	var workers sync.WaitGroup
	workers.Go(func() { g.writer.run(ctx, g.Connectivity.Recovered) })
	workers.Go(func() { g.sweep(ctx) })
	defer time.AfterFunc(listWait, g.stopListWait).Stop()
	watcher := store.Watcher{
		Store: pacedReads{Store: g.Records, view: g.View}, Partition: Partition(), Settings: watchSettings, List: g.List,
		Connectivity: g.Connectivity, Refresh: g.refresh, OnUpdate: g.apply,
		OnConnectivity: func(err error) {
			if err != nil {
				g.Logger.Warn().Err(err).Msg("Suspected contents can not be read. Those read last stay suspected.")
			}
		},
	}
	watcher.Run(ctx)
	workers.Wait()
}

// Flush waits until everything that this daemon saw is stored, or ctx ends.
func (g *Guard) Flush(ctx context.Context) { g.writer.flush(ctx) }

// pacedReads is a store whose reads by all daemons together do not follow each other too fast.
type pacedReads struct {
	store.Store
	view membership.View
}

// Read implements store.Store.
func (p pacedReads) Read(ctx context.Context, partition store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	store.ProgressOf(ctx).SetPause(spreadTime(p.view))
	return p.Store.Read(ctx, partition, from, wait)
}

// spreadTime returns how long after the store has taken a send the last daemon may begin to read it.
func spreadTime(view membership.View) time.Duration {
	return min(time.Duration(len(view.Members()))*pausePerDaemon, maxPause)
}

// apply applies what was read from the store.
func (g *Guard) apply(update store.Update) {
	now := time.Now()
	update.Records = g.withoutReleased(update.Records)
	ended, malformed := g.table.apply(update, now)
	g.reportIfAnswered(ended)
	for _, key := range malformed {
		g.Logger.Warn().Str("key", key).Msg("Record of a suspected content skipped. It is malformed.")
	}
	g.stopListWait()
}

// stopListWait lets requests go that wait for the first list.
func (g *Guard) stopListWait() { g.listedOnce.Do(func() { close(g.listed) }) }

// withoutReleased returns the records without the reservations that this daemon has released.
func (g *Guard) withoutReleased(records []store.Record) []store.Record {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	kept := make([]store.Record, 0, len(records))
	for _, record := range records {
		known, isReleased := g.released[sendKey(record.Key)]
		if !isReleased || len(record.Value) == 0 {
			kept = append(kept, record)
			continue
		}
		if isClosed(known.write.taken) { // the store took the reservation late, after its release
			known.write = g.writer.append(store.Record{Key: record.Key})
			g.released[sendKey(record.Key)] = known
		}
	}
	return kept
}

// release drops a reservation, and those whose turn never came because of it.
func (g *Guard) release(key sendKey) {
	g.dropNeverSentBehind(key)
	g.mutex.Lock()
	g.released[key] = released{at: time.Now(), write: g.writer.append(store.Record{Key: string(key)})}
	g.mutex.Unlock()
	g.table.drop(key)
}

// dropNeverSentBehind drops the reservations whose turn never came because of an own one, before that ends:
// daemons that hear of them only then could not tell.
func (g *Guard) dropNeverSentBehind(own sendKey) {
	never := g.table.neverSentBehind(own)
	if len(never) == 0 {
		return
	}
	g.writer.append(deletions(never)...)
	g.table.drop(never...)
	g.Logger.Info().Str("content", string(own.content())).Int("reservations", len(never)).
		Msg("Reservations dropped. Their daemons were replaced before their turn came.")
}

// forgetReleased forgets the reservations that were released long ago.
func (g *Guard) forgetReleased(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	maps.DeleteFunc(g.released, func(_ sendKey, r released) bool { return now.Sub(r.at) > lateAppendTime })
}

// sweep removes contents whose lifetime is over, until ctx ends.
func (g *Guard) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, sweepInterval/2+rand.N(sweepInterval))
		now := time.Now()
		g.forgetReleased(now)
		g.daemons.keepOnly(g.View.Members())
		keys := g.table.removable(now)
		if len(keys) == 0 {
			continue
		}
		g.table.drop(keys...)
		g.writer.append(deletions(keys)...)
		g.Logger.Info().Int("sends", len(keys)).Msg("Suspected contents removed. Their lifetime is over, or there are too many.")
	}
}

// deletions returns the records that delete sends.
func deletions(keys []sendKey) []store.Record {
	records := make([]store.Record, 0, len(keys))
	for _, key := range keys {
		records = append(records, store.Record{Key: string(key)})
	}
	return records
}

// awaitList waits until the suspects were listed after the start.
func (g *Guard) awaitList(ctx context.Context) {
	select {
	case <-g.listed:
	case <-ctx.Done():
	}
}
