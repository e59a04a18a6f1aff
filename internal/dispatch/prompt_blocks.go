package dispatch

import (
	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// promptBlocks caches the block hashes of a program's history, so that each
// call hashes only what is new. It starts empty after a takeover.
type promptBlocks struct {
	hasher   prefix.Hasher
	blocks   []structs.BlockHash
	messages int
	started  bool
}

// extend returns the block hashes and the token count of the prompt for a call.
func (b *promptBlocks) extend(p *program.Program, call *structs.Call) ([]structs.BlockHash, int64) {
	if !b.started && !p.SystemPrompt.IsZero() {
		b.blocks = b.hasher.Write(structs.Message{Role: "system", Content: p.SystemPrompt.String()}, b.blocks)
	}
	b.started = true
	for _, message := range p.History.From(b.messages) {
		b.blocks = b.hasher.Write(message, b.blocks)
		b.messages++
	}
	fork := b.hasher
	blocks := b.blocks[:len(b.blocks):len(b.blocks)]
	for _, message := range call.Messages {
		blocks = fork.Write(message, blocks)
	}
	return blocks, fork.Tokens()
}
