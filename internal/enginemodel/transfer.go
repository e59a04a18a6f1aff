package enginemodel

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// maximumPrograms bounds the programs whose blocks can be exported by name.
const maximumPrograms = 1 << 14

// programBlocks remembers the blocks of each program's last call.
type programBlocks struct {
	byKey map[structs.ProgramKey]*programChain
	order []structs.ProgramKey
}

// programChain is a program's prompt and answer as blocks.
type programChain struct {
	namespace namespace
	hashes    []structs.BlockHash
	// owner is the sequence that added last.
	lastWriter *sequence
}

func newProgramBlocks() programBlocks {
	return programBlocks{byKey: map[structs.ProgramKey]*programChain{}}
}

// rememberBlocks keeps the names of the blocks that a sequence has. Those up
// to before are known already if the sequence was the last to add.
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

// chain returns a program's chain, making place for a new one.
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

// Export is a program's cache on its way to another engine.
type Export struct {
	Model   structs.ModelName   `json:"model"`
	Adapter structs.AdapterName `json:"adapter,omitempty"`
	Blocks  []structs.BlockHash `json:"blocks"`
}

// Tokens returns the number of tokens exported.
func (x Export) Tokens() int64 { return int64(len(x.Blocks)) * prefix.BlockTokens }

// Export returns what the engine still has of a program's cache, from the
// first block on. It is asked for by a call that will use it elsewhere, so it
// counts as a use.
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

// MissingBlocks returns how many blocks of an export this engine does not have.
func (e *Engine) MissingBlocks(export Export) int {
	return len(export.Blocks) - e.cache.match(namespace{export.Model, export.Adapter}, export.Blocks)
}

// TransferTime returns how long a number of blocks takes over the link.
func (e *Engine) TransferTime(blocks int) time.Duration {
	bytes := float64(blocks) * prefix.BlockTokens * float64(e.parameters.CacheBytesPerToken)
	return time.Duration(bytes / float64(e.parameters.LinkBytesPerSecond) * float64(time.Second))
}

// ReserveLink returns how long it takes until some blocks have come from a
// sender: a link carries one transfer after the other. The sender is nil where
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

// Import takes over exported blocks, as far as there is place, pins them under
// a hold if one is named, and returns how many of them are here now. It takes
// nothing for a hold that was released before.
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

// holdImported pins imported blocks until the attempt that follows ends, if the
// bound on holds allows it. A hold that is there already is the attempt's own.
func (e *Engine) holdImported(id structs.HoldID, program structs.ProgramKey, blocks []*block) {
	for _, b := range blocks {
		b.usedBy(program)
	}
	if id == "" || len(blocks) == 0 || e.holds.byID[id] != nil || !e.fitsHoldLimit(blocks) {
		return
	}
	e.pinForHold(id, program, blocks)
}
