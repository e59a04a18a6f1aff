package clock

import (
	"container/heap"
	"time"
)

// Virtual is a clock that advances only when its owner runs the next event.
// Events at the same instant run in the order in which they were scheduled, so
// a run is deterministic. It is not safe for concurrent use.
type Virtual struct {
	now      time.Time
	events   eventHeap
	sequence uint64
}

// NewVirtual returns a clock set to start.
func NewVirtual(start time.Time) *Virtual { return &Virtual{now: start} }

// Now returns the virtual time.
func (v *Virtual) Now() time.Time { return v.now }

// AfterFunc schedules f in the event loop.
func (v *Virtual) AfterFunc(d time.Duration, f func()) Timer {
	v.sequence++
	event := &virtualEvent{clock: v, at: v.now.Add(max(d, 0)), sequence: v.sequence, run: f}
	heap.Push(&v.events, event)
	return event
}

// Pending returns the number of scheduled events.
func (v *Virtual) Pending() int { return len(v.events) }

// Step advances to the next event and runs it. It returns false if no event is
// scheduled.
func (v *Virtual) Step() bool {
	if len(v.events) == 0 {
		return false
	}
	event := heap.Pop(&v.events).(*virtualEvent)
	v.now = event.at
	event.run()
	return true
}

// RunUntil runs every event up to and including end and sets the clock to end.
func (v *Virtual) RunUntil(end time.Time) {
	for len(v.events) > 0 && !v.events[0].at.After(end) {
		v.Step()
	}
	if v.now.Before(end) {
		v.now = end
	}
}

type virtualEvent struct {
	clock    *Virtual
	at       time.Time
	sequence uint64
	position int
	run      func()
}

// removedPosition marks an event that is no longer in the heap.
const removedPosition = -1

// Stop implements Timer.
func (e *virtualEvent) Stop() bool {
	if e.position == removedPosition {
		return false
	}
	heap.Remove(&e.clock.events, e.position)
	return true
}

type eventHeap []*virtualEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

func (h *eventHeap) Push(x any) {
	event := x.(*virtualEvent)
	event.position = len(*h)
	*h = append(*h, event)
}

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.position = removedPosition
	return last
}
