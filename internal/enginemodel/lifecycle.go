package enginemodel

import (
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Start begins an attempt, or resumes the stream of one that this run knows.
// The observer may be called before Start returns.
func (e *Engine) Start(request Request, observer framework.EngineObserver) *Subscription {
	if known := e.attempts.find(request.Attempt); known != nil {
		return e.resume(known, request, observer)
	}
	if request.ResumeOnly && !e.attempts.hasRun(request.Attempt) {
		observer.End(framework.AttemptEnd{Kind: framework.EndLost, Message: "the attempt is not known"})
		return &Subscription{}
	}
	if end, refused := e.refusal(&request); refused {
		observer.End(end)
		return &Subscription{}
	}
	a := &attempt{request: request, epoch: request.Epoch, written: request.AnswerPrefixBytes}
	reader := a.subscribe(observer, max(request.ResumeAt, request.AnswerPrefixBytes))
	e.attempts.add(a)
	e.recordStart(a)
	e.arrivals++
	a.sequence = newSequence(a, e.arrivals)
	e.enqueue(a.sequence)
	e.recordLoadState()
	e.wake()
	return reader
}

func (a *attempt) subscribe(observer framework.EngineObserver, from int64) *Subscription {
	reader := &Subscription{attempt: a, observer: observer, next: from}
	a.readers = append(a.readers, reader)
	return reader
}

func (e *Engine) resume(known *attempt, request Request, observer framework.EngineObserver) *Subscription {
	if request.Epoch < e.attempts.fence(request.Attempt) {
		observer.End(fencedEnd())
		return &Subscription{}
	}
	known.epoch = max(known.epoch, request.Epoch)
	e.attempts.raiseFence(request.Attempt, request.Epoch, e.now())
	reader := known.subscribe(observer, max(request.ResumeAt, request.AnswerPrefixBytes))
	if known.done {
		known.broadcast()
		return reader
	}
	known.deliver(reader)
	return reader
}

// refusal returns why an attempt is refused, and false if it is accepted.
func (e *Engine) refusal(request *Request) (framework.AttemptEnd, bool) {
	rejected := framework.AttemptEnd{Kind: framework.EndRejected, RetryAfter: time.Second}
	switch {
	case e.down:
		rejected.Message = "connection refused"
	case request.Epoch < e.attempts.fence(request.Attempt):
		return fencedEnd(), true
	case e.attempts.hasRun(request.Attempt):
		return framework.AttemptEnd{Kind: framework.EndFailed, Reason: structs.ReasonBackEnd, Message: "the attempt ran; its stream is gone"}, true
	case e.draining:
		rejected.Message, rejected.Draining = "draining", true
	case !e.orders.serves(request.Model, request.Adapter):
		rejected.Message, rejected.Reason = "the model is not loaded", structs.ReasonUnknownModel
	case request.PromptTokens < 1 || e.blocksAtEnd(request) > e.cache.capacity:
		rejected.Message, rejected.Reason = "the prompt does not fit", structs.ReasonInvalidRequest
	case len(e.waiting) >= e.parameters.MaximumWaiting:
		rejected.Message, rejected.Reason = "the queue is full", structs.ReasonOverloaded
	default:
		return framework.AttemptEnd{}, false
	}
	return rejected, true
}

func (e *Engine) blocksAtEnd(request *Request) int {
	return blocksFor(request.PromptTokens + max(request.AnswerTokens, tokensOf(request.AnswerPrefixBytes)+1))
}

func fencedEnd() framework.AttemptEnd {
	return framework.AttemptEnd{Kind: framework.EndRejected, Message: "fenced by a higher epoch"}
}

// Cancel stops an attempt; done is called once it has stopped, at the latest
// at the end of the current step.
func (e *Engine) Cancel(id structs.AttemptID, done func()) {
	a := e.attempts.find(id)
	if a == nil || a.done {
		done()
		return
	}
	a.cancelCallbacks = append(a.cancelCallbacks, done)
	if place := slices.Index(e.waiting, a.sequence); place >= 0 {
		e.waiting = slices.Delete(e.waiting, place, place+1)
		e.finishCancelled(a.sequence)
		return
	}
	e.wake()
}

// Inspect returns the state of an attempt and refuses it at lower epochs from
// now on.
func (e *Engine) Inspect(id structs.AttemptID, epoch structs.Epoch) framework.AttemptStatus {
	status := framework.AttemptStatus{State: framework.AttemptAbsent, StartedUnixNano: e.startedAt.UnixNano()}
	e.attempts.expireFences(e.now(), e.parameters.FenceRetention)
	e.attempts.raiseFence(id, epoch, e.now())
	status.Fenced = true
	a := e.attempts.find(id)
	switch {
	case a != nil && !a.done:
		status.State = framework.AttemptRunning
	case a != nil || e.attempts.hasRun(id):
		status.State = framework.AttemptDone
	}
	return status
}

// FinishHandover is the finish reason of an engine in the prefill role: the
// prompt is cached, no token was decoded. The caller transfers the cache to an
// engine that decodes and starts the attempt there.
const FinishHandover = "handover"

// complete ends a sequence whose answer is complete.
func (e *Engine) complete(s *sequence) {
	a := s.attempt
	end := framework.AttemptEnd{Kind: framework.EndCompleted, FinishReason: "stop", Usage: s.usage()}
	switch {
	case s.handedOver:
		end.FinishReason = FinishHandover
	case a.request.Truncated:
		end.FinishReason = "length"
	}
	end.HoldTaken = e.takeHold(s)
	blocks := s.blocks
	s.releaseBlocks(e.cache, e.now())
	if a.request.Discard && !end.HoldTaken {
		e.cache.evictUnshared(blocks, e.now())
	}
	e.finishAttempt(a, end)
}

func (s *sequence) usage() structs.Usage {
	return structs.Usage{
		PromptTokens:     s.attempt.request.PromptTokens,
		CachedTokens:     min(s.cached, s.attempt.request.PromptTokens),
		CompletionTokens: s.generated - tokensOf(s.attempt.request.AnswerPrefixBytes),
	}
}

// finishCancelled ends a cancelled sequence that is no longer in the batch.
func (e *Engine) finishCancelled(s *sequence) {
	s.releaseBlocks(e.cache, e.now())
	e.finishAttempt(s.attempt, framework.AttemptEnd{Kind: framework.EndCancelled, Reason: structs.ReasonCancelled, Usage: s.usage()})
	s.attempt.broadcast()
	for _, done := range s.attempt.cancelCallbacks {
		done()
	}
}

func (e *Engine) expired(s *sequence) bool {
	deadline := s.attempt.request.Deadline
	return !deadline.IsZero() && e.now().After(deadline)
}

// expire ends a waiting sequence whose deadline has passed.
func (e *Engine) expire(s *sequence) {
	end := framework.AttemptEnd{Kind: framework.EndFailed, Reason: structs.ReasonDeadline, Message: "the deadline passed"}
	if s.prefilled == 0 && !s.hitsCounted {
		end.Kind = framework.EndRejected
	}
	end.Usage = s.usage()
	e.finishAttempt(s.attempt, end)
	s.attempt.broadcast()
}

// finishAttempt records an attempt's end and keeps its stream readable for the
// retention time.
func (e *Engine) finishAttempt(a *attempt, end framework.AttemptEnd) {
	a.done, a.end, a.sequence = true, end, nil
	e.recordEnd(a, end)
	run := e.run
	e.after(e.parameters.AttemptRetention, func() {
		if e.run == run {
			e.attempts.forget(a.request.Attempt)
		}
	})
}
