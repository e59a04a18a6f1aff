// Package historycost measures the cost of keeping the histories of programs:
// their size encoded and compressed, and in memory.
package historycost

import (
	"encoding/json"
	"math/rand/v2"
	"strings"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// ErrCompress is returned when encoding or compression fails.
var ErrCompress = eris.New("historycost: cannot encode or compress")

// The text is synthetic: words drawn by a Zipf law from a made-up vocabulary,
// with tool results as JSON. Real conversations differ.
const (
	vocabularySize = 8000
	zipfExponent   = 1.1
	zipfOffset     = 2.7
	wordsPerPrompt = 60
	wordsPerAnswer = 220
	itemsPerTool   = 12
	// BytesPerToken is the assumed length of a token.
	BytesPerToken = 4
)

// Cost is the size of one program's history.
type Cost struct {
	Turns int `json:"turns"`
	// TextBytes is the size of the conversation's text; Tokens is derived from
	// it.
	TextBytes int64 `json:"text_bytes"`
	Tokens    int64 `json:"tokens"`
	// EncodedBytes is the size of the history as JSON, the form in which it is
	// sent.
	EncodedBytes int64 `json:"encoded_bytes"`
	// CompressedBytes is the size of the whole history compressed by zstd,
	// PerTurnBytes the sum with each turn compressed separately.
	CompressedBytes int64 `json:"compressed_bytes"`
	PerTurnBytes    int64 `json:"per_turn_compressed_bytes"`
}

// Ratio returns the compression ratio of the whole history.
func (c Cost) Ratio() float64 { return float64(c.EncodedBytes) / float64(c.CompressedBytes) }

// PerTurnRatio returns the compression ratio with each turn compressed separately.
func (c Cost) PerTurnRatio() float64 { return float64(c.EncodedBytes) / float64(c.PerTurnBytes) }

// writer generates synthetic conversations.
type writer struct {
	words []string
	zipf  *rand.Zipf
	rand  *rand.Rand
}

func newWriter(seed uint64) *writer {
	random := rand.New(rand.NewPCG(seed, 0))
	w := &writer{rand: random, zipf: rand.NewZipf(random, zipfExponent, zipfOffset, vocabularySize-1)}
	syllables := []string{"ba", "ke", "lo", "mi", "nu", "ra", "se", "ti", "vo", "zu", "chle", "tal", "ly", "ward", "booth", "flour"}
	for range vocabularySize {
		var word strings.Builder
		for range 1 + random.IntN(3) {
			word.WriteString(syllables[random.IntN(len(syllables))])
		}
		w.words = append(w.words, word.String())
	}
	return w
}

func (w *writer) text(words int) string {
	var text strings.Builder
	for range words {
		text.WriteString(w.words[w.zipf.Uint64()])
		text.WriteByte(' ')
	}
	return text.String()
}

// item is one row of a tool's result.
type item struct {
	Name   string `json:"name"`
	Amount int    `json:"amount"`
	Place  string `json:"place"`
}

func (w *writer) toolResult() string {
	var items []item
	for range itemsPerTool {
		items = append(items, item{Name: w.text(2), Amount: w.rand.IntN(1000), Place: w.text(1)})
	}
	encoded, _ := json.Marshal(items)
	return string(encoded)
}

// turn returns the messages of one turn.
func (w *writer) turn() []structs.Message {
	return []structs.Message{
		{Role: "user", Content: w.text(wordsPerPrompt)},
		{Role: "tool", Content: w.toolResult()},
		{Role: "assistant", Content: w.text(wordsPerAnswer)},
	}
}

// Measure generates a history and measures it.
func Measure(turns int, seed uint64) (Cost, error) {
	encoder, err := zstd.NewWriter(nil)
	if err != nil {
		return Cost{}, eris.Wrap(ErrCompress, err.Error())
	}
	defer func() { _ = encoder.Close() }()
	w := newWriter(seed)
	cost := Cost{Turns: turns}
	var history []structs.Message
	for range turns {
		messages := w.turn()
		history = append(history, messages...)
		encoded, err := json.Marshal(messages)
		if err != nil {
			return Cost{}, eris.Wrap(ErrCompress, err.Error())
		}
		cost.PerTurnBytes += int64(len(encoder.EncodeAll(encoded, nil)))
	}
	for _, message := range history {
		cost.TextBytes += int64(len(message.Content))
	}
	cost.Tokens = cost.TextBytes / BytesPerToken
	encoded, err := json.Marshal(history)
	if err != nil {
		return Cost{}, eris.Wrap(ErrCompress, err.Error())
	}
	cost.EncodedBytes = int64(len(encoded))
	cost.CompressedBytes = int64(len(encoder.EncodeAll(encoded, nil)))
	return cost, nil
}
