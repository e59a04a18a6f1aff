package ledger

import (
	"slices"
	"sync"
)

// textsLimit bounds the bytes of chains that an asker remembers: some tens of programs'
// histories, which a daemon of a large fleet has under way.
const textsLimit = 512 << 10

// textCache remembers the text of chains that this daemon sent or was sent lately, by their
// last turn. Half of a program's turns come by the daemon that had the one before, and
// their history is most of what a reservation carries, two thirds of it between regions
// where there are three. The text of a turn never changes. Whether it is still kept is
// for the holder to say, each time. The zero value is ready.
type textCache struct {
	mutex  sync.Mutex
	byTurn map[string][]byte
	// order holds the turns from the one remembered first.
	order []string
	bytes int
}

// get returns the text of a chain up to a turn; false if it is not remembered.
func (t *textCache) get(turn string) ([]byte, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	text, known := t.byTurn[turn]
	return slices.Clip(text), known
}

// put remembers the text of a chain up to a turn; the oldest are forgotten.
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

// extend remembers the text of a chain up to a turn that was kept, if that of the turn
// before it is remembered, and forgets the latter: few programs go on from a turn twice.
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
