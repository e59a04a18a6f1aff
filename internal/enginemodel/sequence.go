package enginemodel

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// sequence is an attempt in the batch or waiting to enter it.
type sequence struct {
	attempt *attempt
	// arrival orders sequences of equal priority.
	arrival uint64
	// computed counts the tokens whose cache exists; target is how many must
	// exist before the next token can be decoded.
	computed int64
	target   int64
	// generated counts answer tokens, including those given with the request.
	generated int64
	goal      int64
	// blocks are the shared blocks it references, from the first; private
	// counts the blocks behind them.
	blocks  []*block
	private int
	// spanStart is the value of computed when the current span began.
	spanStart int64
	// handedOver is set once an engine in the prefill role has finished it.
	handedOver bool
	// hitsCounted is set once its cache hits are in the statistics.
	hitsCounted bool
	cached      int64
	prefilled   int64
}

func newSequence(a *attempt, arrival uint64) *sequence {
	given := tokensOf(a.request.AnswerPrefixBytes)
	return &sequence{
		attempt:   a,
		arrival:   arrival,
		generated: given,
		goal:      max(a.request.AnswerTokens, given+1),
		target:    a.request.PromptTokens + given,
	}
}

// tokensOf returns the number of whole tokens in a number of answer bytes.
func tokensOf(bytes int64) int64 { return bytes / prefix.BytesPerToken }

// blocksFor returns the number of blocks that hold a number of tokens.
func blocksFor(tokens int64) int {
	return int((tokens + prefix.BlockTokens - 1) / prefix.BlockTokens)
}

func (s *sequence) namespace() namespace {
	return namespace{s.attempt.request.Model, s.attempt.request.Adapter}
}

// decoding reports whether the whole prompt is computed.
func (s *sequence) decoding() bool { return s.computed >= s.target }

// precedes reports whether the sequence is before another one in the waiting
// queue: by priority, then arrival.
func (s *sequence) precedes(other *sequence) bool {
	if s.attempt.request.Priority != other.attempt.request.Priority {
		return s.attempt.request.Priority > other.attempt.request.Priority
	}
	return s.arrival < other.arrival
}

// hash returns the hash of a block of prompt and answer, and false when the
// text does not fill that block.
func (s *sequence) hash(index int) (structs.BlockHash, bool) {
	prompt := s.attempt.request.Blocks
	if index < len(prompt) {
		return prompt[index], true
	}
	answer := s.attempt.request.AnswerBlocks
	if index-len(prompt) < len(answer) {
		return answer[index-len(prompt)], true
	}
	return 0, false
}

// admit allocates the blocks for all tokens up to the target and one more, and
// reports whether memory sufficed. If not, nothing is allocated.
func (s *sequence) admit(c *blockCache, now time.Time) bool {
	hits := s.cachedPrefix(c)
	for i := range hits {
		hash, _ := s.hash(i)
		c.acquire(c.blocks[blockKey{s.namespace(), hash}])
	}
	needed := blocksFor(s.target+1) - hits
	if needed > c.available() {
		for i := hits - 1; i >= 0; i-- {
			hash, _ := s.hash(i)
			c.releaseUnused(c.blocks[blockKey{s.namespace(), hash}])
		}
		return false
	}
	for i := range hits {
		hash, _ := s.hash(i)
		hit := c.blocks[blockKey{s.namespace(), hash}]
		hit.usedBy(s.attempt.request.Program)
		s.blocks = append(s.blocks, hit)
	}
	c.allocate(needed, now)
	s.private = needed
	s.computed = int64(hits) * prefix.BlockTokens
	return true
}

// cachedPrefix returns how many blocks from the first are cached. At least one
// token is left to compute, since computing it yields the first answer token.
func (s *sequence) cachedPrefix(c *blockCache) int {
	limit := int((s.target - 1) / prefix.BlockTokens)
	for i := range limit {
		hash, named := s.hash(i)
		if !named || c.blocks[blockKey{s.namespace(), hash}] == nil {
			return i
		}
	}
	return limit
}

// blocksNeeded returns how many further blocks a number of tokens beyond the
// computed ones takes.
func (s *sequence) blocksNeeded(tokens int64) int {
	return max(blocksFor(s.computed+tokens)-len(s.blocks)-s.private, 0)
}

// milestones appends the steps, from 1 to count, at which the sequence needs
// another block to decode or fills one.
func (s *sequence) milestones(count int, all []milestone) []milestone {
	s.spanStart = s.computed
	capacity := int64(len(s.blocks)+s.private) * prefix.BlockTokens
	for step := int(capacity-s.computed) + 1; step <= count; step += prefix.BlockTokens {
		all = append(all, milestone{step, s, s.computed + int64(step)})
	}
	full := s.computed/prefix.BlockTokens*prefix.BlockTokens + prefix.BlockTokens
	for step := int(full - s.computed); step <= count; step += prefix.BlockTokens {
		all = append(all, milestone{step, s, s.computed + int64(step)})
	}
	return all
}

// shareFullBlocks publishes the blocks that are now full under their hashes,
// so that other sequences can share them.
func (s *sequence) shareFullBlocks(c *blockCache) {
	for int64(len(s.blocks)+1)*prefix.BlockTokens <= s.computed {
		hash, named := s.hash(len(s.blocks))
		if !named || s.private == 0 {
			return
		}
		published := c.publish(blockKey{s.namespace(), hash})
		published.usedBy(s.attempt.request.Program)
		s.blocks = append(s.blocks, published)
		s.private--
	}
}

// releaseBlocks frees all blocks, the deepest first: a block is useless
// without those before it.
func (s *sequence) releaseBlocks(c *blockCache, now time.Time) {
	for i := len(s.blocks) - 1; i >= 0; i-- {
		c.release(s.blocks[i], now)
	}
	c.freePrivate(s.private)
	s.blocks, s.private, s.computed = nil, 0, 0
}
