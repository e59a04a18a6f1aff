package poison

import (
	"bytes"
	"slices"
	"sync"
	"sync/atomic"
)

// detachedTrackers are the Trackers of requests that have ended while their last send may still end its back
// end. A content that is answered afterwards does not do that. It is safe for concurrent use; the zero
// value is ready.
type detachedTrackers struct {
	// count is the number of Trackers. It is read without the mutex: mostly it is 0.
	count atomic.Int64
	mutex sync.Mutex
	// byShape holds the Trackers by the number of their content's shape.
	byShape map[uint64][]*Tracker
}

func (d *detachedTrackers) add(t *Tracker) {
	number := t.content.shapeNumber()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.byShape == nil {
		d.byShape = map[uint64][]*Tracker{}
	}
	d.byShape[number] = append(d.byShape[number], t)
	d.count.Add(1)
}

func (d *detachedTrackers) remove(t *Tracker) {
	number := t.content.shapeNumber()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	position := slices.Index(d.byShape[number], t)
	if position < 0 {
		return
	}
	d.count.Add(-1)
	d.byShape[number] = slices.Delete(d.byShape[number], position, position+1)
	if len(d.byShape[number]) == 0 {
		delete(d.byShape, number)
	}
}

// noteAnswered makes the Trackers with a content pass over the ends of their back ends.
func (d *detachedTrackers) noteAnswered(content *Content) {
	if d.count.Load() == 0 {
		return
	}
	number := content.shapeNumber()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, t := range d.byShape[number] {
		if bytes.Equal(t.content.Body, content.Body) {
			t.isAnswered.Store(true)
		}
	}
}

// Detach returns a Tracker for what becomes known of the latest send after the request has ended. It
// gets the request's reservation, and must be closed as well.
func (t *Tracker) Detach() *Tracker {
	if t == nil {
		return nil
	}
	detached := &Tracker{
		guard: t.guard, about: t.about, content: t.content, digest: t.digest, generation: t.generation, reserved: t.reserved, isDetached: true,
	}
	t.reserved = nil
	t.guard.passOn(t, detached)
	t.guard.detached.add(detached)
	return detached
}
