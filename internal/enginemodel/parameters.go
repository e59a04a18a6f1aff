package enginemodel

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/prefix"
)

// Parameters are the costs and limits of one engine; docs/ENGINE_MODEL.md
// gives their sources.
type Parameters struct {
	// StepBase is the fixed time of a step, independent of its batch: reading
	// the weights.
	StepBase time.Duration
	// StepPerSequence is added for each sequence that decodes in the step.
	StepPerSequence time.Duration
	// StepPerContextToken is added for each token of context that the
	// decoding sequences attend to: reading the cache.
	StepPerContextToken time.Duration
	// PrefillPerToken is added for each prompt token prefilled in the step.
	PrefillPerToken time.Duration
	// StepTokens is the token budget of one step, decoded and prefilled.
	StepTokens int64
	// DecodeRoleTokens is the prefill budget of a step at an engine in the
	// decode role, which computes only what no transfer brought.
	DecodeRoleTokens int64
	// MaximumRunning limits the batch, MaximumWaiting the engine's queue.
	MaximumRunning int
	MaximumWaiting int
	// CacheTokens is the size of the block cache.
	CacheTokens int64
	// HeldFraction limits the part of the cache that holds may pin, 0 to 1.
	HeldFraction float64
	// CacheBytesPerToken and LinkBytesPerSecond determine the duration of a
	// transfer.
	CacheBytesPerToken int64
	LinkBytesPerSecond int64
	// ModelBytes and AdapterBytes are what a load reads from the weight store.
	ModelBytes   int64
	AdapterBytes int64
	// SingleVersion makes an engine unload a model's version before it loads
	// another, for lack of memory for both.
	SingleVersion bool
	// MaximumAdapters limits the adapters that are loaded or being loaded.
	MaximumAdapters int
	// AttemptRetention is how long the stream of a finished attempt stays
	// readable.
	AttemptRetention time.Duration
	// FenceRetention is how long a fence is kept.
	FenceRetention time.Duration
	// AnswerTokens is the default length of an answer, used when the prompt
	// sets none.
	AnswerTokens int64
	// CoalescedSteps limits how many equal steps one event covers. 1 streams
	// each token at its own time; larger values only delay cache events and
	// tokens that are neither first nor last of an answer. No other time
	// changes unless two sequences decode the same answer at once while memory
	// is short: the block that they then share may admit a third one a step
	// early.
	CoalescedSteps int
	// Publication sets the lag and loss of the engine's reports.
	Publication Publication
}

// Publication describes how late and how incompletely an engine reports.
type Publication struct {
	// LoadLag is the age of the state that a load report shows.
	LoadLag time.Duration `json:"load_lag"`
	// EventDelay is the time from a cache change to its event.
	EventDelay time.Duration `json:"event_delay"`
	// EventLoss is the fraction of cache events that are never published.
	EventLoss float64 `json:"event_loss"`
}

// Validate returns an error that names the first field out of range.
func (p *Parameters) Validate() error {
	switch {
	case p.StepTokens < 1:
		return NewParameterError("StepTokens", "at least 1")
	case p.DecodeRoleTokens < 1:
		return NewParameterError("DecodeRoleTokens", "at least 1")
	case p.MaximumRunning < 1:
		return NewParameterError("MaximumRunning", "at least 1")
	case p.CacheTokens < prefix.BlockTokens:
		return NewParameterError("CacheTokens", "at least one block")
	case p.StepBase <= 0:
		return NewParameterError("StepBase", "above zero")
	case p.MaximumAdapters < 0:
		return NewParameterError("MaximumAdapters", "at least 0")
	case p.HeldFraction < 0 || p.HeldFraction > 1:
		return NewParameterError("HeldFraction", "0 to 1")
	case p.Publication.EventLoss < 0 || p.Publication.EventLoss > 1:
		return NewParameterError("EventLoss", "0 to 1")
	}
	return nil
}

// Default returns the parameters of an 8-billion-parameter model on one
// accelerator of the 80 GB class. At batch 32 with 1,500 tokens of context
// each, a step takes 9 ms + 32*0.2 ms + 48,000*60 ns = 18.3 ms; a step that
// only prefills its 512 tokens takes 39.7 ms.
func Default() Parameters {
	return Parameters{
		StepBase:            9 * time.Millisecond,
		StepPerSequence:     200 * time.Microsecond,
		StepPerContextToken: 60 * time.Nanosecond,
		PrefillPerToken:     60 * time.Microsecond,
		StepTokens:          512,
		DecodeRoleTokens:    64,
		MaximumRunning:      64,
		MaximumWaiting:      1024,
		CacheTokens:         300_000,
		HeldFraction:        0.8,
		CacheBytesPerToken:  128 << 10,
		LinkBytesPerSecond:  12_500_000_000,
		ModelBytes:          16_000_000_000,
		AdapterBytes:        100_000_000,
		MaximumAdapters:     16,
		AttemptRetention:    time.Minute,
		FenceRetention:      10 * time.Minute,
		AnswerTokens:        24,
		CoalescedSteps:      64,
		Publication: Publication{
			LoadLag:    500 * time.Millisecond,
			EventDelay: 200 * time.Millisecond,
		},
	}
}
