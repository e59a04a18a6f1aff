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

// handoverLook separates looks at whether all shards were passed on.
const handoverLook = 20 * time.Millisecond

// Service is a daemon's way to the ledger: it asks the holders of shards, and
// holds those that fall to this daemon. It is safe for concurrent use.
type Service struct {
	Options
	holders []*holder
	records *recordStore
	known   *holderTable
	// texts are those of chains that this daemon sent or was sent lately.
	texts   textCache
	avoided avoided
	// isolation tells whether this daemon is cut off from the others.
	isolation isolationDetector
	pace      handoverPacer
	// troubles are those of shards that this daemon asked for.
	troubles troubles
	// capacity is what is known of the room in the store.
	capacity *storeCapacity
	leaving  chan struct{}
	left     sync.Once
	replies  peer.Replies[Response]
	settled  chan struct{}
}

// NewService returns a service; Run makes it work.
func NewService(options Options) *Service {
	s := &Service{
		Options:  options,
		known:    newHolderTable(len(options.Partitions)),
		settled:  make(chan struct{}),
		leaving:  make(chan struct{}),
		capacity: newStoreCapacity(options),
	}
	if s.Admission == nil {
		s.Admission = &admission.Controller{}
	}
	contact := options.Connectivity
	if contact == nil {
		contact = store.UnknownConnectivity{}
	}
	s.records = &recordStore{
		Store: options.Store, contact: contact,
		pages: make(slots, pagesAtOnce), histories: make(slots, historiesAtOnce),
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
				shard:         shard,
				partition:     partition,
				directory:     s.Directory,
				daemon:        string(s.Self),
				records:       s.records,
				known:         s.known,
				capacity:      s.capacity,
				fleet:         s,
				machine:       s.Machine,
				quotaTerms:    s.Quota,
				confirmations: s.Confirmations,
				logger:        s.Logger.With().Int("shard", shard).Logger(),
				metrics:       s.Metrics,
				leaving:       s.leaving,
				readingAhead:  readingAhead,
			},
			operations: make(chan operation, operationQueue),
		}
	}
	return holders
}

// Run works until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var workers sync.WaitGroup
	workers.Go(func() { s.watchIsolation(ctx) })
	workers.Go(func() { s.settle(ctx) })
	for _, h := range s.holders {
		workers.Go(func() { h.run(ctx) })
	}
	workers.Wait()
}

// Leave stops holding shards: others take them over.
func (s *Service) Leave() { s.left.Do(func() { close(s.leaving) }) }

// WaitForHandover waits, after Leave, until this daemon holds no shard any more and
// is to take none that it read ahead, no other daemon could take one, or ctx ends.
func (s *Service) WaitForHandover(ctx context.Context) {
	for s.isNeeded(time.Now()) && s.successor(0, []structs.DaemonID{s.Self}, time.Now()) != "" && ctx.Err() == nil {
		clock.Sleep(ctx, handoverLook)
	}
}

func (s *Service) isNeeded(now time.Time) bool {
	return slices.ContainsFunc(s.holders, func(h *holder) bool { return h.status.holding.Load() || h.status.isPromised(now) })
}

func (s *Service) isLeaving() bool { return isClosed(s.leaving) }

// shardOf returns the shard of a program.
func (s *Service) shardOf(program string) int {
	return int(xxhash.Sum64String(program) % uint64(len(s.holders)))
}

// isClosed tells whether a channel that carries nothing was closed.
func isClosed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}
