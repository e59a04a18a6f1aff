// Package prefix computes token counts and chained block hashes of conversations, so that
// the scheduler and the simulated engines agree on which prefixes two prompts share. One
// token stands for four bytes of text.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// BytesPerToken is the length of text that counts as one token.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in one cache block.
	BlockTokens = 64
	// blockBytes is the length of text in one cache block.
	blockBytes = BlockTokens * BytesPerToken
	// messageOverheadBytes bounds what a chat template adds to a message.
	messageOverheadBytes = 16
)

// Hasher hashes a conversation incrementally, one hash per full block. A hash covers the
// block and everything before it. The zero value is ready to use; a copy continues the
// conversation independently.
type Hasher struct {
	chain   uint64
	partial [blockBytes]byte
	filled  int
	bytes   int64
}

// Write adds a message and appends the hashes of the blocks that it completes to blocks.
func (h *Hasher) Write(message structs.Message, blocks []structs.BlockHash) []structs.BlockHash {
	blocks = h.writeText(message.Role, blocks)
	blocks = h.writeText("\n", blocks)
	blocks = h.writeText(message.Content, blocks)
	for _, call := range message.ToolCalls {
		blocks = h.writeText("\n"+call.ID+call.Name+call.Arguments, blocks)
	}
	blocks = h.writeText(message.ToolCallID, blocks)
	return h.writeText("\n", blocks)
}

// Tokens returns the number of tokens written so far, rounded up.
func (h *Hasher) Tokens() int64 {
	return (h.bytes + BytesPerToken - 1) / BytesPerToken
}

// Digest returns a hash of everything written so far, including an incomplete block.
func (h *Hasher) Digest() uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], h.chain)
	digest := xxhash.New()
	_, _ = digest.Write(seed[:])
	_, _ = digest.Write(h.partial[:h.filled])
	return digest.Sum64()
}

func (h *Hasher) writeText(text string, blocks []structs.BlockHash) []structs.BlockHash {
	h.bytes += int64(len(text))
	for len(text) > 0 {
		copied := copy(h.partial[h.filled:], text)
		text = text[copied:]
		h.filled += copied
		if h.filled == blockBytes {
			blocks = append(blocks, h.closeBlock())
		}
	}
	return blocks
}

func (h *Hasher) closeBlock() structs.BlockHash {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], h.chain)
	digest := xxhash.New()
	_, _ = digest.Write(seed[:])
	_, _ = digest.Write(h.partial[:])
	h.chain = digest.Sum64()
	h.filled = 0
	return structs.BlockHash(h.chain)
}

// Blocks returns the block hashes and the token count of a conversation.
func Blocks(messages []structs.Message) ([]structs.BlockHash, int64) {
	var hasher Hasher
	var blocks []structs.BlockHash
	for _, message := range messages {
		blocks = hasher.Write(message, blocks)
	}
	return blocks, hasher.Tokens()
}

// TextTokens returns the number of tokens of a text on its own.
func TextTokens(text string) int64 {
	return int64((len(text) + BytesPerToken - 1) / BytesPerToken)
}

// UpperBound returns a token count for the messages that no byte-level tokenizer exceeds.
func UpperBound(messages []structs.Message) int64 {
	var total int64
	for _, message := range messages {
		total += int64(len(message.Role)+len(message.Content)+len(message.Name)+len(message.ToolCallID)) + messageOverheadBytes
		for _, call := range message.ToolCalls {
			total += int64(len(call.ID)+len(call.Name)+len(call.Arguments)) + messageOverheadBytes
		}
	}
	return total
}
