package enginemodel

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Request is one attempt as the model sees it: hashes and counts, no text.
// PromptReader makes it from a framework.EngineRequest; a workload without
// text may fill it in itself.
type Request struct {
	Attempt  structs.AttemptID
	Epoch    structs.Epoch
	Program  structs.ProgramKey
	Model    structs.ModelName
	Adapter  structs.AdapterName
	Priority int
	Hold     structs.HoldID
	// Discard drops what served this program alone once the call ends,
	// unless the hold is taken.
	Discard bool
	// Deadline is when nobody waits any more; zero means none.
	Deadline time.Time

	// Blocks and PromptTokens describe the prompt.
	Blocks       []structs.BlockHash
	PromptTokens int64
	// AnswerBlocks are the blocks that the whole answer adds behind Blocks.
	AnswerBlocks []structs.BlockHash
	// AnswerTokens is the length of the whole answer, already bounded by what
	// the caller allows; Cut is set when that bound made it shorter.
	AnswerTokens int64
	Truncated    bool
	// Answer is the answer's text.
	Answer Answer
	// Given is the number of answer bytes that came with the request.
	AnswerPrefixBytes int64
	// ResumeAt is where the stream should start, in answer bytes; ResumeOnly
	// ends an attempt that this run does not know as lost.
	ResumeAt   int64
	ResumeOnly bool
}

// Subscription is one reader of an attempt's stream.
type Subscription struct {
	attempt  *attempt
	observer framework.EngineObserver
	// next is the answer byte that the reader has not had.
	next int64
}

// Detach stops reading without stopping the attempt. The observer hears
// nothing more.
func (s *Subscription) Detach() {
	if s == nil || s.attempt == nil {
		return
	}
	s.attempt.unsubscribe(s)
	s.attempt = nil
}

// attempt is one request that this run of the engine has seen.
type attempt struct {
	request  Request
	epoch    structs.Epoch
	sequence *sequence
	readers  []*Subscription
	// written is the number of answer bytes that exist.
	written  int64
	done     bool
	end      framework.AttemptEnd
	recorded *AttemptRun
	// cancelled holds the answers owed to those who cancelled it.
	cancelCallbacks []func()
}

func (a *attempt) unsubscribe(reader *Subscription) {
	for i, other := range a.readers {
		if other == reader {
			a.readers = append(a.readers[:i:i], a.readers[i+1:]...)
			return
		}
	}
}

// deliver brings a reader up to date.
func (a *attempt) deliver(reader *Subscription) {
	if reader.next >= a.written {
		return
	}
	chunk := structs.Chunk{Offset: reader.next, Text: a.request.Answer.Text(reader.next, a.written)}
	reader.next = a.written
	reader.observer.Chunks([]structs.Chunk{chunk})
}

// broadcast brings every reader up to date, and ends them when it is over.
func (a *attempt) broadcast() {
	readers := a.readers
	if a.done {
		a.readers = nil
	}
	for _, reader := range readers {
		if reader.attempt == nil {
			continue
		}
		a.deliver(reader)
		if a.done && reader.attempt != nil {
			reader.attempt = nil
			reader.observer.End(a.end)
		}
	}
}
