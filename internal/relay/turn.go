package relay

import (
	"context"
	"errors"
	"time"

	"github.com/mintpulley/mintpulley/internal/ledger"
)

// turnState is a turn that the ledger granted.
type turnState struct {
	ledger.Grant
	retain bool
	// historyBytes is the length of the history.
	historyBytes int
	// perEvent is how many tokens each event carries.
	perEvent int64
	// grantedAfter is how long the reservation took, and recordedAfter the
	// record of its end.
	grantedAfter  time.Duration
	recordedAfter time.Duration
	// unrecordedFor is why the wait for that record ended without it.
	unrecordedFor Cause
	settled       bool
}

// isTurn tells whether the call is a turn of a program with a budget, or goes
// on from one.
func (c *carrier) isTurn() bool {
	program := c.call.Program
	return program != nil && (program.BudgetTokens > 0 || program.Previous != "" || c.call.Route.RetainContext)
}

// needsRecord tells whether the call can not be served without its program's record.
func (c *carrier) needsRecord() bool { return c.isTurn() && c.call.Route.RetainContext }

// beginTurn reserves the turn's tokens. False means that the call was ended.
func (c *carrier) beginTurn(ctx context.Context) (turn *turnState, ok bool) {
	started := time.Now()
	ctx, cancel := context.WithDeadline(ctx, c.beginUntil(started))
	defer cancel()
	if c.needsRecord() {
		watched, stopWatching := c.relay.monitor.untilIsolated(ctx)
		defer stopWatching()
		ctx = watched
	}
	grant, err := c.tryBegin(ctx)
	took := time.Since(started)
	c.relay.Metrics.begun(took, err)
	if err == nil {
		return &turnState{
			Grant: grant, historyBytes: len(grant.History),
			retain: c.call.Route.RetainContext, perEvent: c.tokensPerEvent(), grantedAfter: took,
		}, true
	}
	var crowded *ledger.StoreCapacityError
	switch {
	case errors.As(err, &crowded):
		c.forecast.MedianRemaining = crowded.RetryAfter
		c.refuse(Refusal{Reason: ReasonStoreCrowded, RetryAfter: c.returnAfter(), Detail: "The store has no room for another program."})
	case errors.Is(err, ledger.ErrBudgetSpent):
		c.refuse(Refusal{Reason: ReasonBudgetSpent, Detail: "The program's token budget has no room for this turn."})
	case errors.Is(err, ledger.ErrUnknownTurn):
		c.refuse(Refusal{Reason: ReasonUnknownTurn, Detail: "The previous turn is not known."})
	case isStopBound(ctx):
		c.refuse(stopping)
	case c.refuseCutOff():
	default:
		c.logger.Warn().Err(err).Dur("took", took).Msg("Program's record not reached.")
		c.refuse(Refusal{Reason: ReasonLedgerUnavailable, RetryAfter: c.returnAfter(), Detail: "The program's record can not be reached."})
	}
	return nil, false
}

// tryBegin asks for the reservation until it is granted, refused for good, or
// hardly granted in time: an outage of the store or a takeover may end any moment,
// and who waits is served the moment it does.
func (c *carrier) tryBegin(ctx context.Context) (ledger.Grant, error) {
	turn := ledger.Turn{
		ID:           c.turnID,
		Program:      c.call.Program.ID,
		Session:      c.call.Program.Session,
		BudgetTokens: c.call.Program.BudgetTokens,
		MaxTokens:    c.mostTokens(),
		Previous:     c.call.Program.Previous,
		Retention:    c.call.Route.Retention,
		Regions:      c.regions,
	}
	started := time.Now()
	if c.call.Route.RetainContext && c.relay.recording.isCrowded(c.relay.MaxPendingRecordBytes) {
		c.decideTurn(errTooMuchWaits, started, started)
		return ledger.Grant{}, errTooMuchWaits
	}
	for {
		grant, err := c.relay.Ledger.Begin(ctx, turn)
		if !errors.Is(err, ledger.ErrUnavailable) {
			return grant, err
		}
		if !c.waitForTurn(ctx, err, started) {
			c.relay.Ledger.Abandon(turn)
			return grant, err
		}
	}
}

func (c *carrier) tokensPerEvent() int64 {
	service := c.relay.serviceInForce(c.service)
	if service == nil || service.Model == nil {
		return 1
	}
	return max(service.Model.TokensPerEvent, 1)
}

// mostTokens is the most that the turn generates: what the caller names,
// rounded up to whole events.
func (c *carrier) mostTokens() int64 {
	perEvent := c.tokensPerEvent()
	return (c.call.MaxTokens + perEvent - 1) / perEvent * perEvent
}

// settle tells the ledger what became of the turn. A turn that others may go
// on from is on record when settle returns no error, which may take until ctx ends;
// all others are settled in the background.
func (c *carrier) settle(ctx context.Context, state *streamState, whole bool) error {
	turn := state.turn
	if turn.settled {
		return nil
	}
	outcome := ledger.Outcome{
		Turn:       c.turnID,
		Program:    c.call.Program.ID,
		Session:    c.call.Program.Session,
		Instance:   state.instance,
		Retention:  c.call.Route.Retention,
		UsedTokens: state.events * turn.perEvent,
		Regions:    c.regions,
	}
	if whole && turn.retain && c.call.ResumeAfter == "" {
		outcome.Kept = &ledger.KeptTurn{
			ID:       c.turnID,
			Previous: c.call.Program.Previous,
			Input:    c.call.Body,
			Output:   state.output,
		}
		err := c.record(ctx, state, outcome)
		turn.settled = true
		return err
	}
	c.settleLater(outcome)
	turn.settled = true
	return nil
}

// record waits until a kept turn is on record, for as long as its caller does:
// the answer is ready, and an outage of the store may end any moment. So may what
// fills the memory for records. The bound of a stop does not end the wait: the ledger
// works until the callers are cut off, and longer.
func (c *carrier) record(ctx context.Context, state *streamState, outcome ledger.Outcome) error {
	started := time.Now()
	ctx, cancel := c.untilCallerLeaves(ctx)
	defer cancel()
	size := int64(len(outcome.Kept.Input) + len(outcome.Kept.Output))
	err := c.relay.recording.acquire(ctx, size, c.relay.MaxPendingRecordBytes)
	if err == nil {
		err = c.endWithRoom(ctx, outcome, size)
	}
	state.turn.recordedAfter = time.Since(started)
	c.relay.Metrics.recorded(state.turn.recordedAfter, err)
	if err == nil {
		return nil
	}
	c.logger.Warn().Err(err).AnErr("context", context.Cause(ctx)).Dur("waited", state.turn.recordedAfter).
		Msg("Turn not recorded. The stream is broken off.")
	state.turn.unrecordedFor = causeOfUnrecorded(ctx, err)
	outcome.Kept = nil // nobody goes on from it; what its caller got still counts
	c.settleLater(outcome)
	return err
}

// endWithRoom ends a turn in the ledger, and releases the room that its text takes.
func (c *carrier) endWithRoom(ctx context.Context, outcome ledger.Outcome, size int64) error {
	defer c.relay.recording.release(size, c.relay.MaxPendingRecordBytes) // after a panic, too
	return c.relay.Ledger.End(ctx, outcome)
}

// untilCallerLeaves returns a context that ends when the caller leaves, is cut off, or its
// time is over.
func (c *carrier) untilCallerLeaves(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.call.Deadline.IsZero() {
		return context.WithCancel(callerOf(ctx))
	}
	return context.WithDeadline(callerOf(ctx), c.call.Deadline)
}

// causeOfUnrecorded is why the wait for a turn's record ended without it.
func causeOfUnrecorded(ctx context.Context, err error) Cause {
	if errors.Is(err, ledger.ErrUnknownTurn) {
		return CauseRecordUnknownTurn
	}
	switch ended := causeOf(ctx, ""); {
	case ended == CauseShutdownDeadline:
		return CauseRecordShutdownDeadline
	case ended == CauseCallerLeft:
		return CauseRecordCallerLeft
	case errors.Is(err, errTooMuchWaits):
		return CauseRecordMemory
	case ended == CauseTimeOver:
		return CauseRecordTimeOver
	}
	return CauseRecordUnavailable
}

// settleLater settles a turn in the background, until settleTimeout.
func (c *carrier) settleLater(outcome ledger.Outcome) {
	c.relay.settling.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := c.relay.Ledger.End(ctx, outcome); err != nil {
			c.logger.Warn().Err(err).Msg("Turn not settled. Its reservation stays spent.")
		}
	})
}
