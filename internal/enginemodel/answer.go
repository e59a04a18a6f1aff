package enginemodel

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	hexDigits = "0123456789abcdef"
	// tokensDirective in the last user message sets the answer's length:
	// "[[tokens=120]]".
	tokensDirective = "[[tokens="
	// toolDirective in the last user message requests a call of a tool that
	// the request offers: "[[tool=swing]]". Only the HTTP stand-in follows it.
	toolDirective = "[[tool="
	// directiveEnd closes a directive.
	directiveEnd = "]]"
	// maximumAnswerTokens limits the length that a directive can set.
	maximumAnswerTokens = 1 << 20
)

// Answer is the text that every engine gives to a prompt: four bytes per
// token, a function of the prompt alone, so that a stream can continue at
// another engine and any part can be produced on its own.
type Answer struct{ Seed uint64 }

// NewAnswer returns the answer to a prompt that ends at the given hasher
// state.
func NewAnswer(hasher prefix.Hasher) Answer { return Answer{Seed: hasher.Digest()} }

// Text returns the answer bytes in the range [from, to).
func (a Answer) Text(from, to int64) string {
	var builder strings.Builder
	builder.Grow(int(to - from))
	for token := from / prefix.BytesPerToken; token*prefix.BytesPerToken < to; token++ {
		word := a.token(token)
		start := token * prefix.BytesPerToken
		builder.Write(word[max(from-start, 0):min(to-start, prefix.BytesPerToken)])
	}
	return builder.String()
}

// token returns three hexadecimal digits and a space.
func (a Answer) token(index int64) [prefix.BytesPerToken]byte {
	var seed [16]byte
	binary.LittleEndian.PutUint64(seed[:8], a.Seed)
	binary.LittleEndian.PutUint64(seed[8:], uint64(index))
	sum := xxhash.Sum64(seed[:])
	return [prefix.BytesPerToken]byte{hexDigits[sum&15], hexDigits[sum>>4&15], hexDigits[sum>>8&15], ' '}
}

// DirectedTokens returns the answer length that "[[tokens=N]]" in the last
// user message sets, and false when there is none.
func DirectedTokens(messages []structs.Message) (int64, bool) {
	value, found := directive(messages, tokensDirective)
	if !found {
		return 0, false
	}
	tokens, err := strconv.ParseInt(value, 10, 64)
	if err != nil || tokens < 1 {
		return 0, false
	}
	return min(tokens, maximumAnswerTokens), true
}

// DirectedTool returns the tool that "[[tool=NAME]]" in the last user message
// names, and false when there is none.
func DirectedTool(messages []structs.Message) (string, bool) {
	return directive(messages, toolDirective)
}

// directive returns the value of a directive in the last user message.
func directive(messages []structs.Message, opening string) (string, bool) {
	for i := len(messages) - 1; i >= 0; i-- {
		if messages[i].Role != "user" {
			continue
		}
		_, rest, found := strings.Cut(messages[i].Content, opening)
		if !found {
			return "", false
		}
		value, _, closed := strings.Cut(rest, directiveEnd)
		return value, closed
	}
	return "", false
}
