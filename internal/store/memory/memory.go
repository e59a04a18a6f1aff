// Package memory is a store in the memory of one process: the stand-in for
// the platform's store in tests. It fences, answers repeats alike, and can be
// told to be down, to lose answers and to do calls late.
package memory

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

// pageRecords bounds the records of one page of a listing.
const pageRecords = 500

// repeatsKept is how many calls of a writer are answered again alike.
const repeatsKept = 5

// Fault tells what becomes of one call to Append.
type Fault int

// Faults of a call.
const (
	// FaultNone: the call is done and answered.
	FaultNone Fault = iota
	// FaultRefused: nothing is done.
	FaultRefused
	// FaultAnswerLost: the call is done, and the caller hears nothing.
	FaultAnswerLost
	// FaultDoneLate: the caller hears nothing, and the call is done when
	// DoLate is called, if its writer was not fenced by then.
	FaultDoneLate
)

// Store implements store.Store.
type Store struct {
	mutex      sync.Mutex
	changed    *sync.Cond
	partitions map[store.Partition]*partition
	fault      func(store.Partition, store.Writer) Fault
	late       []func()
	down       bool
	delay      time.Duration
	appends    int
	unfenced   bool
	// capacity bounds the bytes that are kept, 0 for no bound, and full counts the appends
	// that were refused for it.
	capacity int
	full     int
}

type partition struct {
	records []store.Record
	// first is the offset of the first record of the history.
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

// SetDown makes every call fail without effect, or ends that.
func (s *Store) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

// SetDelay makes every call take a while before it is done.
func (s *Store) SetDelay(delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delay = delay
}

// await lets the delay of a call pass.
func (s *Store) await() {
	s.mutex.Lock()
	delay := s.delay
	s.mutex.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}

// awaitReading lets the delay of a reading pass; false if nobody waits for its end.
func (s *Store) awaitReading(ctx context.Context) bool {
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

// SetFault installs a function that picks the fault of each Append.
func (s *Store) SetFault(fault func(store.Partition, store.Writer) Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
}

// DoLate does the calls that FaultDoneLate put off.
func (s *Store) DoLate() {
	s.mutex.Lock()
	late := s.late
	s.late = nil
	s.mutex.Unlock()
	for _, call := range late {
		call()
	}
}

// SetFencing makes the store refuse superseded writers, as it does from the
// start, or take their appends: a store that breaks its promise.
func (s *Store) SetFencing(fencing bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unfenced = !fencing
}

// SetCapacity bounds the bytes that the store keeps: the history of all partitions, and
// besides it the newest record of each key.
func (s *Store) SetCapacity(bytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.capacity = bytes
}

// Full returns how many appends were refused because the store was full.
func (s *Store) Full() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.full
}

// Kept returns how many bytes the store keeps.
func (s *Store) Kept() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.kept()
}

// kept returns the bytes that the store keeps.
func (s *Store) kept() int {
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

// Appends returns how many calls to Append were made.
func (s *Store) Appends() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.appends
}

// Append implements store.Store.
func (s *Store) Append(_ context.Context, name store.Partition, by store.Writer, records []store.Record) error {
	s.await()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.appends++
	if s.down {
		return store.ErrUnavailable
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
	case FaultDoneLate:
		s.late = append(s.late, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			_ = s.append(name, by, records)
		})
		return store.ErrOutcomeUnknown
	}
	return s.append(name, by, records)
}

func (s *Store) append(name store.Partition, by store.Writer, records []store.Record) error {
	if s.capacity > 0 && s.kept()+store.SizeOf(records) > s.capacity {
		s.full++
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

// admit checks the writer's epoch and number; repeated means it was done.
func (p *partition) admit(by store.Writer) (repeated bool, err error) {
	known := p.writers[by.Name]
	if known == nil || by.Epoch > known.epoch {
		p.writers[by.Name] = &writer{epoch: by.Epoch, sequence: by.Sequence}
		return false, nil
	}
	if by.Epoch < known.epoch {
		return false, store.ErrFenced
	}
	if by.Sequence <= known.sequence && by.Sequence+repeatsKept > known.sequence {
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
	if !s.awaitReading(ctx) {
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
