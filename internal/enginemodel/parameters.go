package enginemodel

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/prefix"
)

// Parameters describe one engine. docs/ENGINE_MODEL.md gives their sources.
type Parameters struct {
	// StepBase is the time of a step whatever its batch: reading the weights.
	StepBase time.Duration
	// StepPerSequence is added for each sequence that decodes in the step.
	StepPerSequence time.Duration
	// StepPerContextToken is added for each token of context that the
	// decoding sequences attend to: reading the cache.
	StepPerContextToken time.Duration
	// PrefillPerToken is added for each prompt token computed in the step.
	PrefillPerToken time.Duration
	// StepTokens bounds the tokens of one step, decoded and prefilled.
	StepTokens int64
	// DecodeRoleTokens bounds the prompt tokens of a step at an engine in the
	// decode role, which computes only what no transfer brought.
	DecodeRoleTokens int64
	// MaximumRunning bounds the batch, MaximumWaiting the engine's queue.
	MaximumRunning int
	MaximumWaiting int
	// CacheTokens is the size of the block cache.
	CacheTokens int64
	// HeldFraction bounds the part of the cache that holds may pin, 0 to 1.
	HeldFraction float64
	// CacheBytesPerToken and LinkBytesPerSecond give the time of a transfer.
	CacheBytesPerToken int64
	LinkBytesPerSecond int64
	// ModelBytes and AdapterBytes are read from the weight store by a load.
	ModelBytes   int64
	AdapterBytes int64
	// SingleVersion has an engine give up a model's version before it reads
	// another, for want of memory for both.
	SingleVersion bool
	// MaximumAdapters bounds the adapters that are loaded or being read.
	MaximumAdapters int
	// AttemptRetention is how long the stream of an ended attempt can be read.
	AttemptRetention time.Duration
	// FenceRetention is how long a fence is kept.
	FenceRetention time.Duration
	// AnswerTokens is the length of an answer that the prompt does not set.
	AnswerTokens int64
	// CoalescedSteps bounds how many equal steps one event covers. 1 streams
	// each token at its own time; more only delays tokens that are neither
	// first nor last of an answer, and cache events. It changes no other time
	// unless two sequences decode the same answer at once and memory is short:
	// the block that they then share may let a third one in a step early.
	CoalescedSteps int
	// Publication tells how well the engine reports.
	Publication Publication
}

// Publication tells how late and how incompletely an engine reports.
type Publication struct {
	// LoadLag is the age of the state that a load report shows.
	LoadLag time.Duration `json:"load_lag"`
	// EventDelay is the time from a change to its cache event.
	EventDelay time.Duration `json:"event_delay"`
	// EventLoss is the fraction of cache events that are never published.
	EventLoss float64 `json:"event_loss"`
}

// Validate returns the first field that is out of range.
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

// Default returns an 8-billion-parameter model on one accelerator of the
// 80 GB class. At batch 32 with 1,500 tokens of context each, a step takes
// 9 ms + 32*0.2 ms + 48,000*60 ns = 18.3 ms; prefill alone runs at 512 tokens in
// 39.7 ms.
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
