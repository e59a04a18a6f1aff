// Package memory implements store.Store in memory, as a stand-in for the platform's store in tests.
// It fences writers and deduplicates repeated appends, and can simulate outages, lost answers and
// delayed appends.
package memory

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

// pageRecords is the maximum number of records in one page of a listing.
const pageRecords = 500

// dedupWindow is the number of a writer's last appends that are recognized when they are repeated.
const dedupWindow = 5

// Fault is what happens to one call to Append.
type Fault int

// Faults of a call to Append.
const (
	// FaultNone: the append is applied and answered.
	FaultNone Fault = iota
	// FaultRefused: the append is refused and has no effect.
	FaultRefused
	// FaultAnswerLost: the append is applied, but the answer is lost.
	FaultAnswerLost
	// FaultDelayed: the answer is lost, and the append is applied when ApplyDelayed is called,
	// unless its writer is fenced by then.
	FaultDelayed
)

// Store implements store.Store.
type Store struct {
	mutex      sync.Mutex
	changed    *sync.Cond
	partitions map[store.Partition]*partition
	fault      func(store.Partition, store.Writer) Fault
	delayed    []func()
	down       bool
	delay      time.Duration
	appends    int
	unfenced   bool
	// capacity is the maximum number of bytes stored, 0 for no limit. fullRefusals counts the
	// appends refused because of it.
	capacity     int
	fullRefusals int
	bounds       store.Bounds
}

type partition struct {
	records []store.Record
	// first is the offset of the first record that was not trimmed.
	first   int64
	newest  map[string]int
	writers map[string]*writer
}

type writer struct {
	epoch    uint64
	sequence uint64
}

// New returns an empty store.
func New() *Store {
	s := &Store{partitions: map[store.Partition]*partition{}}
	s.changed = sync.NewCond(&s.mutex)
	return s
}

// SetDown starts or ends an outage, in which every call fails without effect.
func (s *Store) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

// SetDelay sets how long calls to Append and NewestPage take.
func (s *Store) SetDelay(delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delay = delay
}

// waitDelay sleeps for the delay of a call.
func (s *Store) waitDelay() {
	s.mutex.Lock()
	delay := s.delay
	s.mutex.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}

// waitReadDelay sleeps for the delay of a read; false if ctx ended first.
func (s *Store) waitReadDelay(ctx context.Context) bool {
	s.mutex.Lock()
	delay := s.delay
	s.mutex.Unlock()
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// SetFault installs a function that chooses the fault of each Append.
func (s *Store) SetFault(fault func(store.Partition, store.Writer) Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
}

// ApplyDelayed applies the appends that FaultDelayed delayed.
func (s *Store) ApplyDelayed() {
	s.mutex.Lock()
	delayed := s.delayed
	s.delayed = nil
	s.mutex.Unlock()
	for _, call := range delayed {
		call()
	}
}

// SetFencing sets whether superseded writers are refused, which is the default. Without fencing the
// store violates its contract.
func (s *Store) SetFencing(fencing bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unfenced = !fencing
}

// SetCapacity limits the bytes that the store holds: the untrimmed history of all partitions plus
// the newest record of each key.
func (s *Store) SetCapacity(bytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.capacity = bytes
}

// SetBounds sets the most bytes that the store takes in one append.
func (s *Store) SetBounds(bounds store.Bounds) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.bounds = bounds
}

// FullRefusals returns the number of appends that were refused because the store was full.
func (s *Store) FullRefusals() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fullRefusals
}

// StoredBytes returns the number of bytes that the store holds.
func (s *Store) StoredBytes() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.storedBytes()
}

// storedBytes is StoredBytes for callers that hold the mutex.
func (s *Store) storedBytes() int {
	bytes := 0
	for _, p := range s.partitions {
		bytes += store.SizeOf(p.records[p.first:])
		for _, index := range p.newest {
			bytes += store.SizeOf(p.records[index : index+1])
		}
	}
	return bytes
}

// Trim implements store.Store.
func (s *Store) Trim(_ context.Context, name store.Partition, before int64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return store.ErrUnavailable
	}
	p := s.partition(name)
	p.first = min(max(p.first, before), int64(len(p.records)))
	return nil
}

// Appends returns the number of calls to Append.
func (s *Store) Appends() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.appends
}

// Append implements store.Store.
func (s *Store) Append(_ context.Context, name store.Partition, by store.Writer, records []store.Record) error {
	s.waitDelay()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.appends++
	if s.down {
		return store.ErrUnavailable
	}
	if !s.bounds.Accepts(records) {
		return store.ErrRejected
	}
	fault := FaultNone
	if s.fault != nil {
		fault = s.fault(name, by)
	}
	switch fault {
	case FaultRefused:
		return store.ErrUnavailable
	case FaultAnswerLost:
		_ = s.append(name, by, records)
		return store.ErrOutcomeUnknown
	case FaultDelayed:
		s.delayed = append(s.delayed, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			_ = s.append(name, by, records)
		})
		return store.ErrOutcomeUnknown
	}
	return s.append(name, by, records)
}

func (s *Store) append(name store.Partition, by store.Writer, records []store.Record) error {
	if s.capacity > 0 && s.storedBytes()+store.SizeOf(records) > s.capacity {
		s.fullRefusals++
		return store.ErrFull
	}
	p := s.partition(name)
	if by.Name != "" && !s.unfenced {
		repeated, err := p.admit(by)
		if err != nil || repeated {
			return err
		}
	}
	for _, record := range records {
		record.Offset = int64(len(p.records))
		p.records = append(p.records, record)
		p.newest[record.Key] = len(p.records) - 1
		if len(record.Value) == 0 {
			delete(p.newest, record.Key)
		}
	}
	s.changed.Broadcast()
	return nil
}

// admit checks the writer's epoch and sequence number. repeated means that the append was applied
// before.
func (p *partition) admit(by store.Writer) (repeated bool, err error) {
	known := p.writers[by.Name]
	if known == nil || by.Epoch > known.epoch {
		p.writers[by.Name] = &writer{epoch: by.Epoch, sequence: by.Sequence}
		return false, nil
	}
	if by.Epoch < known.epoch {
		return false, store.ErrFenced
	}
	if by.Sequence <= known.sequence && by.Sequence+dedupWindow > known.sequence {
		return true, nil
	}
	if by.Sequence != known.sequence+1 {
		return false, store.ErrSequence
	}
	known.sequence = by.Sequence
	return false, nil
}

func (s *Store) partition(name store.Partition) *partition {
	p := s.partitions[name]
	if p == nil {
		p = &partition{newest: map[string]int{}, writers: map[string]*writer{}}
		s.partitions[name] = p
	}
	return p
}

// NewestPage implements store.Store.
func (s *Store) NewestPage(ctx context.Context, name store.Partition, after string) (store.Page, error) {
	if !s.waitReadDelay(ctx) {
		return store.Page{}, store.ErrOutcomeUnknown
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return store.Page{}, store.ErrUnavailable
	}
	p := s.partition(name)
	page := store.Page{End: int64(len(p.records))}
	for key, index := range p.newest {
		if key > after && len(p.records[index].Value) > 0 {
			page.Records = append(page.Records, p.records[index])
		}
	}
	slices.SortFunc(page.Records, func(a, b store.Record) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Records) > pageRecords {
		page.Records = page.Records[:pageRecords]
		page.More = true
	}
	return page, nil
}

// Read implements store.Store.
func (s *Store) Read(ctx context.Context, name store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return nil, 0, store.ErrUnavailable
	}
	p := s.partition(name)
	if from < p.first {
		return nil, 0, store.ErrTrimmed
	}
	expired := false
	expire := func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		expired = true
		s.changed.Broadcast()
	}
	timer := time.AfterFunc(wait, expire)
	defer timer.Stop()
	defer context.AfterFunc(ctx, expire)()
	for int64(len(p.records)) <= from && !expired {
		s.changed.Wait()
	}
	if ctx.Err() != nil {
		return nil, from, store.ErrOutcomeUnknown
	}
	if int64(len(p.records)) <= from {
		return nil, from, nil
	}
	return append([]store.Record(nil), p.records[from:]...), int64(len(p.records)), nil
}
