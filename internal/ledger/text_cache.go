package ledger

import (
	"slices"
	"sync"
)

// textsLimit bounds the cached bytes of chains.
const textsLimit = 512 << 10

// textCache caches the texts of chains that this daemon recently sent or received, by their
// last turn. Many turns arrive at the daemon that had the previous one, and their history
// is most of the size of a reservation. The text of a turn never changes, but each time the
// holder decides whether it is still kept. The zero value is ready.
type textCache struct {
	mutex  sync.Mutex
	byTurn map[string][]byte
	// order holds the turns, oldest entry first.
	order []string
	bytes int
}

// get returns the text of a chain up to a turn; false if it is not cached.
func (t *textCache) get(turn string) ([]byte, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	text, known := t.byTurn[turn]
	return slices.Clip(text), known
}

// put caches the text of a chain up to a turn and evicts the oldest entries.
func (t *textCache) put(turn string, text []byte) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, known := t.byTurn[turn]; known || turn == "" || len(text) > textsLimit {
		return
	}
	if t.byTurn == nil {
		t.byTurn = map[string][]byte{}
	}
	t.byTurn[turn] = text
	t.order = append(t.order, turn)
	t.bytes += len(text)
	for t.bytes > textsLimit {
		t.bytes -= len(t.byTurn[t.order[0]])
		delete(t.byTurn, t.order[0])
		t.order = slices.Delete(t.order, 0, 1)
	}
}

// extend caches the text of a chain up to a turn that was kept, if the text up to the
// previous turn is cached. It removes the latter, as few programs continue from the same
// turn twice.
func (t *textCache) extend(kept *KeptTurn) {
	before, known := t.get(kept.Previous)
	if !known && kept.Previous != "" {
		return
	}
	t.forget(kept.Previous)
	t.put(kept.ID, slices.Concat(before, kept.Input, kept.Output))
}

func (t *textCache) forget(turn string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	text, known := t.byTurn[turn]
	if !known {
		return
	}
	t.bytes -= len(text)
	delete(t.byTurn, turn)
	t.order = slices.DeleteFunc(t.order, func(other string) bool { return other == turn })
}
