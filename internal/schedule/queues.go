package schedule

import (
	"maps"
	"slices"

	"github.com/mintpulley/mintpulley/internal/structs"
)

func (s *Scheduler) addEntry(entry *waitingItem, account *tenantAccount) {
	entry.account = account
	s.waiting[entry.Item] = entry
	s.fairness.callAdded(account, s.share(account.name))
	s.class(entry).add(entry, account)
	if !entry.Deadline.IsZero() {
		s.deadlines.ReplaceOrInsert(entry)
	}
}

// removeEntry removes an entry from every queue.
func (s *Scheduler) removeEntry(entry *waitingItem) {
	delete(s.waiting, entry.Item)
	account := entry.account
	s.fairness.callRemoved(account)
	queue := s.class(entry)
	queue.remove(entry, account)
	if queue.count == 0 {
		delete(s.classes, queue.key)
		s.sortedClasses = slices.DeleteFunc(s.sortedClasses, func(c *class) bool { return c == queue })
	}
	if !entry.Deadline.IsZero() {
		s.deadlines.Delete(entry)
	}
	s.clearPreferred(entry)
}

func (s *Scheduler) class(entry *waitingItem) *class {
	key := classKey{model: entry.Model, adapter: entry.Adapter}
	known := s.classes[key]
	if known == nil {
		known = newClass(key)
		s.classes[key] = known
		s.insertClass(known)
	}
	return known
}

func (s *Scheduler) insertClass(added *class) {
	position, _ := slices.BinarySearchFunc(s.sortedClasses, added.key, func(c *class, key classKey) int {
		return c.key.compare(key)
	})
	s.sortedClasses = slices.Insert(s.sortedClasses, position, added)
}

func (s *Scheduler) clearPreferred(entry *waitingItem) {
	if entry.preferred != nil {
		entry.preferred.waiters.remove(entry)
		entry.preferred = nil
	}
}

func (s *Scheduler) setPreferred(entry *waitingItem, preferred *EngineView) {
	if entry.preferred == preferred {
		return
	}
	s.clearPreferred(entry)
	entry.preferred = preferred
	preferred.waiters.add(entry)
}

// Waiting returns the number of waiting calls.
func (s *Scheduler) Waiting() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.waiting)
}

// ModelWaiting counts the calls that wait for a model, with or without an
// adapter.
type ModelWaiting struct {
	structs.ModelAdapter
	Calls int
}

// WaitingByModel returns the waiting calls by model and adapter, sorted.
func (s *Scheduler) WaitingByModel() []ModelWaiting {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	calls := map[structs.ModelAdapter]int{}
	for item := range s.waiting {
		calls[structs.ModelAdapter{Model: item.Model, Adapter: item.Adapter}]++
	}
	var counts []ModelWaiting
	for _, wanted := range slices.SortedFunc(maps.Keys(calls), structs.ModelAdapter.Compare) {
		counts = append(counts, ModelWaiting{ModelAdapter: wanted, Calls: calls[wanted]})
	}
	return counts
}
