package enginemodel

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Request is one attempt as the model sees it: hashes and counts, no text.
// PromptReader makes it from a framework.EngineRequest; a workload without
// text may build it directly.
type Request struct {
	Attempt  structs.AttemptID
	Epoch    structs.Epoch
	Program  structs.ProgramKey
	Model    structs.ModelName
	Adapter  structs.AdapterName
	Priority int
	Hold     structs.HoldID
	// Discard evicts the blocks that only this program used once the call
	// ends, unless the hold is taken.
	Discard bool
	// Deadline is when the attempt expires while it waits; zero means never.
	Deadline time.Time

	// Blocks and PromptTokens describe the prompt.
	Blocks       []structs.BlockHash
	PromptTokens int64
	// AnswerBlocks are the blocks that the complete answer adds after Blocks.
	AnswerBlocks []structs.BlockHash
	// AnswerTokens is the length of the complete answer, already limited to
	// the caller's maximum; Truncated is set when that made it shorter.
	AnswerTokens int64
	Truncated    bool
	// Answer is the answer's text.
	Answer Answer
	// AnswerPrefixBytes is the number of answer bytes that came with the
	// request.
	AnswerPrefixBytes int64
	// ResumeAt is the answer byte at which the stream starts. With ResumeOnly
	// an attempt that this run does not know ends as lost.
	ResumeAt   int64
	ResumeOnly bool
}

// Subscription is one reader of an attempt's stream.
type Subscription struct {
	attempt  *attempt
	observer framework.EngineObserver
	// next is the offset of the first answer byte not yet delivered.
	next int64
}

// Detach stops reading without stopping the attempt. The observer is not
// called again.
func (s *Subscription) Detach() {
	if s == nil || s.attempt == nil {
		return
	}
	s.attempt.unsubscribe(s)
	s.attempt = nil
}

// attempt is one request that this run of the engine has accepted.
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
	// cancelCallbacks are called once the attempt has stopped.
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

// deliver sends a reader the answer text it has not received.
func (a *attempt) deliver(reader *Subscription) {
	if reader.next >= a.written {
		return
	}
	chunk := structs.Chunk{Offset: reader.next, Text: a.request.Answer.Text(reader.next, a.written)}
	reader.next = a.written
	reader.observer.Chunks([]structs.Chunk{chunk})
}

// broadcast sends every reader its outstanding text and, if the attempt is
// done, the end.
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
