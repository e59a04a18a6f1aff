package ledger

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// handoverPollInterval is the interval between checks whether all shards were handed over.
const handoverPollInterval = 20 * time.Millisecond

// Service gives a daemon access to the ledger: it sends requests to the holders of shards,
// and holds the shards assigned to this daemon. It is safe for concurrent use.
type Service struct {
	Options
	holders []*holder
	records *recordStore
	known   *holderTable
	// texts caches the texts of chains that this daemon recently sent or received.
	texts     textCache
	avoidList avoidList
	// isolation detects whether this daemon is isolated from the others.
	isolation isolationDetector
	pacer     handoverPacer
	// episodes track the unavailability of shards that this daemon sent requests to.
	episodes episodeTracker
	// capacity estimates the space in the store.
	capacity   *storeCapacity
	pauses     *pauseDetector
	leaving    chan struct{}
	leaveOnce  sync.Once
	replies    peer.Replies[Response]
	discovered chan struct{}
}

// NewService returns a service; Run starts it.
func NewService(options Options) *Service {
	s := &Service{
		Options:    options,
		known:      newHolderTable(len(options.Partitions)),
		discovered: make(chan struct{}),
		leaving:    make(chan struct{}),
		capacity:   newStoreCapacity(options),
		pauses:     newPauseDetector(),
	}
	if s.Admission == nil {
		s.Admission = &admission.Controller{}
	}
	connectivity := options.Connectivity
	if connectivity == nil {
		connectivity = store.UnknownConnectivity{}
	}
	s.records = &recordStore{
		Store: options.Store, connectivity: connectivity,
		pages: make(semaphore, maxConcurrentPages), textPages: make(semaphore, maxConcurrentTextPages),
	}
	s.holders = s.newHolders()
	return s
}

// newHolders returns this daemon's side of each shard.
func (s *Service) newHolders() []*holder {
	readingAhead := make(chan struct{}, 1)
	holders := make([]*holder, len(s.Partitions))
	for shard, partition := range s.Partitions {
		holders[shard] = &holder{
			holderOptions: holderOptions{
				shard:          shard,
				partition:      partition,
				directory:      s.Directory,
				daemon:         string(s.Self),
				records:        s.records,
				bounds:         s.StoreBounds,
				known:          s.known,
				capacity:       s.capacity,
				fleet:          s,
				machine:        s.Machine,
				pauses:         s.pauses,
				quotaTolerance: s.Quota,
				confirmations:  s.Confirmations,
				logger:         s.Logger.With().Int("shard", shard).Logger(),
				metrics:        s.Metrics,
				leaving:        s.leaving,
				readingAhead:   readingAhead,
			},
			operations: make(chan operation, operationQueueSize),
		}
	}
	return holders
}

// Run runs the service until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var workers sync.WaitGroup
	workers.Go(func() { s.watchIsolation(ctx) })
	workers.Go(func() { s.discoverHolders(ctx) })
	workers.Go(func() { s.pauses.run(ctx) })
	for _, h := range s.holders {
		workers.Go(func() { h.run(ctx) })
	}
	workers.Wait()
}

// Leave makes this daemon give up its shards, so that others take them over.
func (s *Service) Leave() { s.leaveOnce.Do(func() { close(s.leaving) }) }

// WaitForHandover waits, after Leave, until this daemon holds no shard and is not expected
// to take one that it read ahead, no other daemon could take one, or ctx ends.
func (s *Service) WaitForHandover(ctx context.Context) {
	for s.holdsOrPromised(time.Now()) && s.successor(0, []structs.DaemonID{s.Self}, time.Now()) != "" && ctx.Err() == nil {
		clock.Sleep(ctx, handoverPollInterval)
	}
}

func (s *Service) holdsOrPromised(now time.Time) bool {
	return slices.ContainsFunc(s.holders, func(h *holder) bool { return h.status.holding.Load() || h.status.isPromised(now) })
}

func (s *Service) isLeaving() bool { return isClosed(s.leaving) }

// shardOf returns the shard of a program.
func (s *Service) shardOf(program string) int {
	return int(xxhash.Sum64String(program) % uint64(len(s.holders)))
}

// isClosed reports whether a signal channel was closed.
func isClosed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}
