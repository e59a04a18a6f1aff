package enginemodel

import (
	"cmp"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// prefillChunk is the part of a step that prefills one sequence.
type prefillChunk struct {
	sequence *sequence
	tokens   int64
}

// span is a series of equal steps, covered by one event: the same sequences
// decode one token each, and the same ones prefill the same number of tokens.
type span struct {
	startedAt time.Time
	decoding  []*sequence
	prefill   []prefillChunk
	// ends are the offsets from the start of the span to the end of each step.
	ends  []time.Duration
	timer clock.Timer
}

// wake begins a span, or shortens the current one to the step in progress,
// because something changed that the next step must take into account.
func (e *Engine) wake() {
	if e.busy {
		e.wakeRequested = true
		return
	}
	if e.span == nil {
		e.beginSpan()
		return
	}
	if len(e.span.ends) == 1 {
		return
	}
	elapsed := e.now().Sub(e.span.startedAt)
	present, _ := slices.BinarySearch(e.span.ends, elapsed)
	if present >= len(e.span.ends)-1 {
		return
	}
	e.span.ends = e.span.ends[:present+1]
	e.span.timer.Stop()
	e.schedule(e.span)
}

func (e *Engine) schedule(s *span) {
	wait := s.ends[len(s.ends)-1] - e.now().Sub(s.startedAt)
	run := e.run
	s.timer = e.after(wait, func() {
		if e.run == run && e.span == s {
			e.endSpan()
		}
	})
}

// beginSpan fills the batch and starts its next steps. Readers that are notified
// of an end meanwhile may start or cancel attempts, which sets wakeRequested: the
// batch is then filled again before its steps start.
func (e *Engine) beginSpan() {
	e.busy = true
	for e.wakeRequested = true; e.wakeRequested && !e.down; {
		e.wakeRequested = false
		e.removeCancelled()
		e.admitWaiting()
	}
	e.makeRoom()
	e.busy = false
	e.events.flush()
	e.recordLoadState()
	if len(e.running) == 0 || e.down {
		return
	}
	e.span = e.plan()
	e.schedule(e.span)
}

// plan chooses the sequences and tokens of the next steps.
func (e *Engine) plan() *span {
	s := &span{startedAt: e.now()}
	left := e.parameters.StepTokens
	for _, sequence := range e.running {
		if sequence.decoding() {
			s.decoding = append(s.decoding, sequence)
			left--
		}
	}
	if e.orders.role == structs.RoleDecode {
		left = min(left, e.parameters.DecodeRoleTokens)
	}
	for _, sequence := range e.running {
		if sequence.decoding() || left <= 0 {
			continue
		}
		tokens := min(sequence.target-sequence.computed, left)
		s.prefill = append(s.prefill, prefillChunk{sequence, tokens})
		left -= tokens
	}
	s.ends = e.stepEnds(s, e.equalSteps(s))
	return s
}

// equalSteps returns how many identical steps can run from here.
func (e *Engine) equalSteps(s *span) int {
	steps := int64(e.parameters.CoalescedSteps)
	for _, part := range s.prefill {
		rest := part.sequence.target - part.sequence.computed
		steps = min(steps, (rest-1)/part.tokens)
	}
	for _, sequence := range s.decoding {
		steps = min(steps, sequence.goal-sequence.generated)
	}
	steps = max(steps, 1)
	if totalBlocksNeeded(s.decoding, steps) > e.cache.available() {
		return 1
	}
	return int(steps)
}

func totalBlocksNeeded(sequences []*sequence, tokens int64) int {
	blocks := 0
	for _, sequence := range sequences {
		blocks += sequence.blocksNeeded(tokens)
	}
	return blocks
}

// stepEnds returns the cumulative durations of a number of steps.
func (e *Engine) stepEnds(s *span, steps int) []time.Duration {
	p := &e.parameters
	context := int64(0)
	for _, sequence := range s.decoding {
		context += sequence.computed
	}
	prefill := int64(0)
	for _, part := range s.prefill {
		prefill += part.tokens
	}
	batch := int64(len(s.decoding))
	fixed := p.StepBase + time.Duration(batch)*p.StepPerSequence + time.Duration(prefill)*p.PrefillPerToken
	ends := make([]time.Duration, steps)
	total := time.Duration(0)
	for i := range ends {
		step := fixed + time.Duration(context+int64(i)*batch)*p.StepPerContextToken
		total += e.applySlowness(step)
		ends[i] = total
	}
	return ends
}

// applySlowness multiplies a duration by the engine's slowness fault, if set.
func (e *Engine) applySlowness(d time.Duration) time.Duration {
	if e.slowness <= 1 {
		return d
	}
	return time.Duration(float64(d) * e.slowness)
}

// endSpan applies the completed steps and begins the next span.
func (e *Engine) endSpan() {
	s := e.span
	e.span = nil
	e.busy = true
	run := e.run
	e.advance(s)
	e.finishSequences()
	if e.run == run {
		e.beginSpan()
	}
}

// milestone is a step at which a sequence needs another block, fills one, or
// prefills.
type milestone struct {
	step     int
	sequence *sequence
	// computed is the sequence's number of computed tokens at the end of the
	// step.
	computed int64
}

// advance adds the tokens of a span to its sequences. Blocks are allocated and
// published in step order, as if each step had its own event.
func (e *Engine) advance(s *span) {
	steps := len(s.ends)
	var milestones []milestone
	for _, sequence := range s.decoding {
		milestones = sequence.milestones(steps, milestones)
	}
	for _, part := range s.prefill {
		for step := 1; step <= steps; step++ {
			milestones = append(milestones, milestone{step, part.sequence, part.sequence.computed + int64(step)*part.tokens})
		}
	}
	slices.SortStableFunc(milestones, func(a, b milestone) int { return cmp.Compare(a.step, b.step) })
	for _, m := range milestones {
		e.applyMilestone(m, s.startedAt.Add(s.ends[m.step-1]))
	}
	for _, sequence := range s.decoding {
		sequence.computed = sequence.spanStart + int64(steps)
		e.generate(sequence, int64(steps))
	}
	for _, part := range s.prefill {
		e.prefilled(part.sequence, part.tokens*int64(steps))
	}
}

func (e *Engine) applyMilestone(m milestone, at time.Time) {
	s := m.sequence
	tokens, prefill := m.computed-s.computed, !s.decoding()
	s.computed = m.computed
	if prefill {
		e.countComputed(s, tokens)
	}
	needed := s.blocksNeeded(0)
	e.cache.allocate(needed, at)
	s.private += needed
	before := len(s.blocks)
	s.shareFullBlocks(e.cache)
	e.recordProgramBlocks(s, before)
}

// generate adds decoded tokens to a sequence's answer.
func (e *Engine) generate(s *sequence, tokens int64) {
	s.generated += tokens
	s.attempt.written = min(s.generated*prefix.BytesPerToken, s.goal*prefix.BytesPerToken)
	e.statistics.CompletionTokens += tokens
}

// prefilled counts prefilled prompt tokens; the step that computes the last
// one also decodes a token.
func (e *Engine) prefilled(s *sequence, tokens int64) {
	s.prefilled += tokens
	if !s.decoding() {
		return
	}
	if e.orders.role == structs.RolePrefill {
		s.handedOver = true
		s.goal = s.generated
		return
	}
	e.generate(s, 1)
}

// finishSequences removes finished sequences from the batch, and notifies
// their readers afterwards, since those may start attempts at once.
func (e *Engine) finishSequences() {
	remaining := e.running[:0:0]
	var notified []*attempt
	for _, s := range e.running {
		switch {
		case s.generated >= s.goal && !s.cancelled():
			e.complete(s)
			notified = append(notified, s.attempt)
		case s.cancelled():
			remaining = append(remaining, s)
		default:
			remaining = append(remaining, s)
			notified = append(notified, s.attempt)
		}
	}
	e.running = remaining
	for _, a := range notified {
		a.broadcast()
	}
}
