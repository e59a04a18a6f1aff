package enginemodel

import "slices"

func (s *sequence) cancelled() bool { return len(s.attempt.cancelCallbacks) > 0 }

// removeCancelled ends the running sequences that were cancelled since the
// last step.
func (e *Engine) removeCancelled() {
	var stopped []*sequence
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		if s.cancelled() {
			stopped = append(stopped, s)
		}
		return s.cancelled()
	})
	for _, s := range stopped {
		e.finishCancelled(s)
	}
}

// admitWaiting moves waiting sequences into the batch in queue order. A
// sequence that does not fit may preempt running ones of lower priority.
func (e *Engine) admitWaiting() {
	for len(e.waiting) > 0 {
		s := e.waiting[0]
		if e.expired(s) {
			e.waiting = e.waiting[1:]
			e.expire(s)
			continue
		}
		if !e.admit(s) {
			return
		}
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.running = append(e.running, s)
	}
}

func (e *Engine) admit(s *sequence) bool {
	for {
		if len(e.running) < e.parameters.MaximumRunning && s.admit(e.cache, e.now()) {
			e.countHits(s)
			return true
		}
		victim := e.victim()
		if victim == nil || victim.attempt.request.Priority >= s.attempt.request.Priority {
			return false
		}
		e.preempt(victim)
	}
}

// makeRoom preempts until every decoding sequence can take its next token.
func (e *Engine) makeRoom() {
	for len(e.running) > 0 {
		var decoding []*sequence
		for _, s := range e.running {
			if s.decoding() {
				decoding = append(decoding, s)
			}
		}
		if totalBlocksNeeded(decoding, 1) <= e.cache.available() {
			return
		}
		e.preempt(e.victim())
	}
}

// victim returns the running sequence to preempt first: lowest priority,
// latest arrival.
func (e *Engine) victim() *sequence {
	var last *sequence
	for _, s := range e.running {
		if last == nil || last.precedes(s) {
			last = s
		}
	}
	return last
}

// preempt returns a sequence to the queue and frees its blocks; those evicted
// meanwhile must be recomputed.
func (e *Engine) preempt(s *sequence) {
	e.running = slices.DeleteFunc(e.running, func(other *sequence) bool { return other == s })
	s.releaseBlocks(e.cache, e.now())
	s.target = s.attempt.request.PromptTokens + s.generated
	e.statistics.Preemptions++
	e.enqueue(s)
}

// enqueue inserts a sequence into the waiting queue in order.
func (e *Engine) enqueue(s *sequence) {
	place, _ := slices.BinarySearchFunc(e.waiting, s, func(other, wanted *sequence) int {
		if other.precedes(wanted) {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, place, s)
}
