package relay

import (
	"context"
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/memorybudget"
)

// errAnswerLong is returned with the first part of an answer that exceeds maxHeldAnswerBytes, or what the
// daemon has memory for.
var errAnswerLong = eris.New("relay: the answer is too long to be held in memory")

const (
	// minHeldAnswerBytes is the size of the buffer that an answer is first read into.
	minHeldAnswerBytes = 2 << 10
	// passOnChunk is the size in bytes of the parts in which a long answer is passed on.
	passOnChunk = 16 << 10
)

// readWhole reads an answer to its end and closes it. If the answer is longer than what is held in
// memory, it returns the first part and errAnswerLong, and the rest is still to be read.
func readWhole(body io.ReadCloser, memory *memorybudget.Holding) ([]byte, error) {
	held, err := readHeld(body, memory)
	if errors.Is(err, errAnswerLong) {
		return held, err
	}
	_ = body.Close() // it was read to its end, or its connection is closed
	if !errors.Is(err, io.EOF) {
		return nil, err
	}
	return held, nil
}

// readHeld reads what may be held of an answer. The error is io.EOF at its end, or errAnswerLong.
func readHeld(body io.Reader, memory *memorybudget.Holding) ([]byte, error) {
	const most = maxHeldAnswerBytes + 1
	held := make([]byte, 0, minHeldAnswerBytes)
	for len(held) < most {
		if len(held) == cap(held) {
			size := min(2*cap(held), most)
			if !memory.Grow(size - cap(held)) {
				return held, errAnswerLong
			}
			held = append(make([]byte, 0, size), held...)
		}
		n, err := body.Read(held[len(held):cap(held)])
		held = held[:len(held)+n]
		if err != nil {
			return held, err
		}
	}
	return held, errAnswerLong
}

// passOnUnlessFalsePromise passes on a long answer, whose first part was read, while the rest arrives. If
// it breaks off, the caller's connection is closed.
func (c *callHandler) passOnUnlessFalsePromise(ctx context.Context, answer *Answer, first []byte, target instance.Instance) {
	defer func() { _ = answer.Body.Close() }() // it was read to its end, or its connection is closed
	if c.isFalsePromise(answer) {
		c.release(target, instance.OutcomeCanceled)
		c.noteCanceledRun(ctx, target)
		c.refuseFalsePromise(answer, target)
		return
	}
	c.responder.Head(answer.Status, answer.Header)
	err := c.passOn(answer.Body, first)
	switch {
	case err == nil:
		_ = answer.Body.Close() // frees the connection
		c.recordServed(target)
		c.relay.Metrics.answered(c.call, answer.Status)
		c.countHeldUp(heldUpServed)
		c.logAnswered("Long answer passed on.", target, answer.Status, nil)
		c.responder.End()
	case errors.Is(err, errCallerLeft), ctx.Err() != nil:
		c.release(target, c.canceledOutcome())
		c.noteCanceledRun(ctx, target)
		c.responder.abort(causeOf(ctx, CauseWriteFailed))
	default:
		c.releaseFailed(target)
		c.logger.Info().Str("instance", target.ID).Err(err).Int("runs", c.runs).Msg("Long answer broke off.")
		c.noteBrokenRun(ctx, target)
		c.responder.abort(c.causeOfBreak())
	}
}

// passOn passes on the first part of an answer and the rest. The error is errCallerLeft, errAnswerTooLong,
// or that of reading.
func (c *callHandler) passOn(rest io.Reader, first []byte) error {
	if err := c.responder.Event(first); err != nil {
		return errCallerLeft
	}
	buffer := make([]byte, passOnChunk)
	for length := len(first); ; {
		n, err := rest.Read(buffer)
		if length += n; length > maxAnswerBytes {
			return errAnswerTooLong
		}
		if n > 0 {
			c.noteHeard()
			if c.responder.Event(buffer[:n]) != nil {
				return errCallerLeft
			}
			c.relay.monitor.restartWait(c.latest.pending)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
