package relay

import (
	"context"
	"errors"
	"time"

	"github.com/mintpulley/mintpulley/internal/ledger"
)

// turnState is a turn whose reservation the ledger granted.
type turnState struct {
	ledger.Grant
	retain bool
	// historyBytes is the length of the history in bytes.
	historyBytes int
	// eventTokens is the number of tokens that each event carries.
	eventTokens int64
	// grantedAfter is how long the reservation took, and recordedAfter how long storing the
	// turn took.
	grantedAfter  time.Duration
	recordedAfter time.Duration
	// unrecordedCause is why the turn was not stored, if it was not.
	unrecordedCause Cause
	settled         bool
}

// isTurn reports whether the call is a turn: its program has a budget, it continues an
// earlier turn, or its route retains context.
func (c *callHandler) isTurn() bool {
	program := c.call.Program
	return program != nil && (program.BudgetTokens > 0 || program.Previous != "" || c.call.Route.RetainContext)
}

// needsRecord reports whether the call cannot be served without its program's record in the
// ledger.
func (c *callHandler) needsRecord() bool { return c.isTurn() && c.call.Route.RetainContext }

// beginTurn reserves the turn's tokens. If ok is false, the call was ended.
func (c *callHandler) beginTurn(ctx context.Context) (turn *turnState, ok bool) {
	if c.relay.IsMemoryTight != nil && c.relay.IsMemoryTight() {
		c.refuse(MemoryFullRefusal)
		return nil, false
	}
	started := time.Now()
	ctx, cancel := context.WithDeadline(ctx, c.beginDeadline(started))
	defer cancel()
	if c.needsRecord() {
		watched, stopWatching := c.relay.monitor.untilIsolated(ctx)
		defer stopWatching()
		ctx = watched
	}
	grant, err := c.tryBegin(ctx, c.ledgerTurn())
	took := time.Since(started)
	c.relay.Metrics.beginEnded(took, err)
	if err == nil {
		return &turnState{
			Grant: grant, historyBytes: len(grant.History),
			retain: c.call.Route.RetainContext, eventTokens: c.tokensPerEvent(), grantedAfter: took,
		}, true
	}
	var crowded *ledger.StoreCapacityError
	switch {
	case errors.As(err, &crowded):
		c.forecast.MedianRemaining = crowded.RetryAfter
		c.refuse(Refusal{Reason: ReasonStoreCrowded, RetryAfter: c.retryAfter(), Detail: "The store has no room for another program."})
	case errors.Is(err, ledger.ErrBudgetSpent):
		c.refuse(Refusal{Reason: ReasonBudgetSpent, Detail: "The program's token budget has no room for this turn."})
	case errors.Is(err, ledger.ErrUnknownTurn):
		c.refuse(Refusal{Reason: ReasonUnknownTurn, Detail: "The previous turn is not known."})
	case isPastShutdownDeadline(ctx):
		c.refuse(stoppingRefusal)
	case c.refuseCutOff():
	default:
		c.logger.Warn().Err(err).Dur("took", took).Msg("Program's record could not be reached.")
		c.refuse(Refusal{Reason: ReasonLedgerUnavailable, RetryAfter: c.retryAfter(), Detail: "The program's record can not be reached."})
	}
	return nil, false
}

// tryBegin repeats the reservation until it is granted, refused for good, or unlikely to be
// granted in time: an outage of the store or a shard takeover may end at any moment.
func (c *callHandler) tryBegin(ctx context.Context, turn ledger.Turn) (ledger.Grant, error) {
	started := time.Now()
	if c.call.Route.RetainContext && c.relay.pendingRecords.isNearlyFull(c.relay.MaxPendingRecordBytes) {
		c.decideTurn(errRecordMemoryFull, started, started)
		return ledger.Grant{}, errRecordMemoryFull
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

// ledgerTurn returns the call's turn as the ledger gets it.
func (c *callHandler) ledgerTurn() ledger.Turn {
	turn := ledger.Turn{
		ID:           c.turnID,
		Program:      c.call.Program.ID,
		Session:      c.call.Program.Session,
		BudgetTokens: c.call.Program.BudgetTokens,
		MaxTokens:    c.maxTokens(),
		Previous:     c.call.Program.Previous,
		Retention:    c.call.Route.Retention,
		Regions:      c.regions,
	}
	c.describeOrigin(&turn)
	return turn
}

func (c *callHandler) tokensPerEvent() int64 {
	service := c.relay.configuredService(c.service)
	if service == nil || service.Model == nil {
		return 1
	}
	return max(service.Model.TokensPerEvent, 1)
}

// maxTokens returns the most tokens that the turn generates: the caller's limit, rounded up
// to whole events.
func (c *callHandler) maxTokens() int64 {
	perEvent := c.tokensPerEvent()
	return (c.call.MaxTokens + perEvent - 1) / perEvent * perEvent
}

// settle reports the turn's outcome to the ledger. For a turn that others may continue it
// returns nil only after the turn was stored, which may take until ctx ends; all other
// turns are settled in the background.
func (c *callHandler) settle(ctx context.Context, state *streamState, whole bool) error {
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
		UsedTokens: state.events * turn.eventTokens,
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

// record waits until a kept turn is stored, as long as its caller stays connected: the
// answer is complete, and an outage of the store or a shortage of record memory may end at
// any moment. The shutdown deadline does not end the wait: the ledger works until after the
// callers' connections are closed, which is later but before the kill.
func (c *callHandler) record(ctx context.Context, state *streamState, outcome ledger.Outcome) error {
	started := time.Now()
	ctx, cancel := c.untilCallerLeaves(ctx)
	defer cancel()
	size := int64(len(outcome.Kept.Input) + len(outcome.Kept.Output))
	err := c.relay.pendingRecords.acquire(ctx, size, c.relay.MaxPendingRecordBytes)
	if err == nil {
		err = c.endAndRelease(ctx, outcome, size)
	}
	state.turn.recordedAfter = time.Since(started)
	c.relay.Metrics.recordEnded(state.turn.recordedAfter, err)
	if err == nil {
		return nil
	}
	c.logger.Warn().Err(err).AnErr("context", context.Cause(ctx)).Dur("waited", state.turn.recordedAfter).
		Msg("Turn not recorded. The stream is broken off.")
	state.turn.unrecordedCause = causeOfUnrecorded(ctx, err)
	outcome.Kept = nil // no turn continues it, but the tokens that its caller received still count
	c.settleLater(outcome)
	return err
}

// endAndRelease ends a turn in the ledger and releases the memory reserved for its text.
func (c *callHandler) endAndRelease(ctx context.Context, outcome ledger.Outcome, size int64) error {
	defer c.relay.pendingRecords.release(size, c.relay.MaxPendingRecordBytes) // also after a panic
	return c.relay.Ledger.End(ctx, outcome)
}

// untilCallerLeaves returns a context that ends when the caller disconnects, its connection
// is closed by the daemon, or the call's deadline passes.
func (c *callHandler) untilCallerLeaves(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.call.Deadline.IsZero() {
		return context.WithCancel(callerContext(ctx))
	}
	return context.WithDeadline(callerContext(ctx), c.call.Deadline)
}

// causeOfUnrecorded returns the cause of an ending whose turn was not stored.
func causeOfUnrecorded(ctx context.Context, err error) Cause {
	if errors.Is(err, ledger.ErrUnknownTurn) {
		return CauseRecordUnknownTurn
	}
	switch ended := causeOf(ctx, ""); {
	case ended == CauseShutdownDeadline:
		return CauseRecordShutdownDeadline
	case ended == CauseCallerLeft:
		return CauseRecordCallerLeft
	case errors.Is(err, errRecordMemoryFull):
		return CauseRecordMemory
	case ended == CauseTimeOver:
		return CauseRecordTimeOver
	}
	return CauseRecordUnavailable
}

// settleLater settles a turn in the background, for at most settleTimeout.
func (c *callHandler) settleLater(outcome ledger.Outcome) {
	c.relay.settling.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := c.relay.Ledger.End(ctx, outcome); err != nil {
			c.logger.Warn().Err(err).Msg("Turn not settled. Its reservation stays spent.")
		}
	})
}
