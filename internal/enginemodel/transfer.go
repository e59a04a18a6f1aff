package enginemodel

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// maximumPrograms limits the programs whose blocks can be exported.
const maximumPrograms = 1 << 14

// programBlocks remembers the blocks of each program's last call.
type programBlocks struct {
	byKey map[structs.ProgramKey]*programChain
	order []structs.ProgramKey
}

// programChain is the block sequence of a program's prompt and answer.
type programChain struct {
	namespace namespace
	hashes    []structs.BlockHash
	// lastWriter is the sequence that last added blocks.
	lastWriter *sequence
}

func newProgramBlocks() programBlocks {
	return programBlocks{byKey: map[structs.ProgramKey]*programChain{}}
}

// recordProgramBlocks records the hashes of a sequence's blocks for its
// program. Those up to before are known already if the sequence was the last
// writer.
func (e *Engine) recordProgramBlocks(s *sequence, before int) {
	if len(s.blocks) == before || s.attempt.request.Program.Program == "" {
		return
	}
	chain := e.programs.chain(s.attempt.request.Program)
	if chain.lastWriter != s || len(chain.hashes) != before {
		before = 0
	}
	chain.lastWriter, chain.namespace = s, s.namespace()
	chain.hashes = chain.hashes[:before]
	for _, b := range s.blocks[before:] {
		chain.hashes = append(chain.hashes, b.key.hash)
	}
}

// chain returns a program's chain, evicting the oldest one for a new program
// if needed.
func (p *programBlocks) chain(key structs.ProgramKey) *programChain {
	chain := p.byKey[key]
	if chain != nil {
		return chain
	}
	chain = &programChain{}
	p.byKey[key] = chain
	p.order = append(p.order, key)
	if len(p.order) > maximumPrograms {
		delete(p.byKey, p.order[0])
		p.order = p.order[1:]
	}
	return chain
}

// Export is a program's cache in transfer to another engine.
type Export struct {
	Model   structs.ModelName   `json:"model"`
	Adapter structs.AdapterName `json:"adapter,omitempty"`
	Blocks  []structs.BlockHash `json:"blocks"`
}

// Tokens returns the number of tokens exported.
func (x Export) Tokens() int64 { return int64(len(x.Blocks)) * prefix.BlockTokens }

// Export returns the cached blocks of a program, from the first on. Since they
// are about to be used at another engine, it counts as a use.
func (e *Engine) Export(program structs.ProgramKey) Export {
	chain := e.programs.byKey[program]
	if chain == nil {
		return Export{}
	}
	count := e.cache.match(chain.namespace, chain.hashes)
	e.cache.touch(chain.namespace, chain.hashes[:count], e.now())
	return Export{
		Model:   chain.namespace.model,
		Adapter: chain.namespace.adapter,
		Blocks:  append([]structs.BlockHash{}, chain.hashes[:count]...),
	}
}

// MissingBlocks returns how many blocks of an export this engine does not
// have.
func (e *Engine) MissingBlocks(export Export) int {
	return len(export.Blocks) - e.cache.match(namespace{export.Model, export.Adapter}, export.Blocks)
}

// TransferTime returns how long a number of blocks takes over the link.
func (e *Engine) TransferTime(blocks int) time.Duration {
	bytes := float64(blocks) * prefix.BlockTokens * float64(e.parameters.CacheBytesPerToken)
	return time.Duration(bytes / float64(e.parameters.LinkBytesPerSecond) * float64(time.Second))
}

// ReserveLink reserves the link for a transfer and returns the time until it
// is complete: a link carries one transfer at a time. The sender is nil when
// it is another process, whose link is not known.
func (e *Engine) ReserveLink(sender *Engine, blocks int) time.Duration {
	now := e.now()
	start := now
	if e.linkFree.After(start) {
		start = e.linkFree
	}
	if sender != nil && sender.linkFree.After(start) {
		start = sender.linkFree
	}
	e.linkFree = start.Add(e.TransferTime(blocks))
	if sender != nil {
		sender.linkFree = e.linkFree
	}
	return e.linkFree.Sub(now)
}

// Import stores exported blocks as far as memory allows, pins them if a hold
// is given, and returns how many of them are cached now. It imports nothing
// for a hold that was released before.
func (e *Engine) Import(export Export, program structs.ProgramKey, id structs.HoldID) int {
	in := namespace{export.Model, export.Adapter}
	if _, released := e.holds.released[id]; released {
		return 0
	}
	if !e.orders.serves(export.Model, export.Adapter) {
		return 0
	}
	count := e.cache.insert(in, export.Blocks, e.now())
	e.holdImported(id, program, e.cache.find(in, export.Blocks[:count]))
	e.events.flush()
	e.recordLoadState()
	return count
}

// holdImported pins imported blocks until the attempt that follows ends, if
// the limit on held memory allows it. A hold that exists already is the
// attempt's own and is kept.
func (e *Engine) holdImported(id structs.HoldID, program structs.ProgramKey, blocks []*block) {
	for _, b := range blocks {
		b.usedBy(program)
	}
	if id == "" || len(blocks) == 0 || e.holds.byID[id] != nil || !e.fitsHoldLimit(blocks) {
		return
	}
	e.pinForHold(id, program, blocks)
}
