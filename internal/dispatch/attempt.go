package dispatch

import (
	"fmt"
	"time"

	"github.com/mintpulley/mintpulley/internal/configuration/resolve"
	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// retryWithoutBackEnd is the retry delay when no live machine serves the
// target.
const retryWithoutBackEnd = 2 * time.Second

// advance starts the program's next call.
func (l *leader) advance(key structs.ProgramKey) {
	p := l.machine.Program(key)
	if p == nil {
		return
	}
	for _, open := range p.Open {
		active := l.calls[callKey{key, open.Call.RequestID}]
		if active != nil && active.stage == stageWaiting {
			l.begin(p, active)
		}
		if !l.Guards.SkipOrder {
			return
		}
	}
}

// begin sends a call towards a back end, by way of the quota and the scheduler.
func (l *leader) begin(p *program.Program, active *activeCall) {
	if !active.mayHaveRun && l.pastDeadline(active) {
		l.settle(active, structs.Refused(structs.ReasonDeadline, "", "The deadline passed before the call was sent.", 0))
		return
	}
	if l.Configurations.Current() == nil {
		l.beginWhenConfigured(active)
		return
	}
	if l.waitForBudget(p, active) {
		return
	}
	if active.call.Kind != structs.CallModel {
		l.beginApplication(p, active)
		return
	}
	active.stage = stageQueued
	active.item = l.newItem(p, active)
	l.Scheduler.Enqueue(active.item)
}

// configurationRetry is the interval between checks for a configuration.
const configurationRetry = 100 * time.Millisecond

// beginWhenConfigured postpones a call that a former leader accepted. A daemon
// that has just started may lead before it knows prices and limits.
func (l *leader) beginWhenConfigured(active *activeCall) {
	l.after(configurationRetry, func() {
		if active.stage == stageWaiting {
			l.advance(active.key)
		}
	})
}

func (l *leader) pastDeadline(active *activeCall) bool {
	return !active.call.Deadline.IsZero() && l.Clock.Now().After(active.call.Deadline)
}

// newItem describes a call to the scheduler.
func (l *leader) newItem(p *program.Program, active *activeCall) *schedule.Item {
	call := active.call
	blocks, tokens := l.blocksOf(p, call)
	root := l.machine.Root(p.Key)
	item := &schedule.Item{
		Key:              p.Key,
		Request:          call.RequestID,
		Template:         p.Template,
		Model:            call.Model,
		Adapter:          call.Adapter,
		Priority:         p.Priority,
		PromptTokens:     tokens,
		Blocks:           blocks,
		MaximumTokens:    call.MaximumTokens,
		Turn:             p.Turns,
		ServedTokens:     root.ServedTokens,
		ProgramStartedAt: root.StartedAt,
		EnqueuedAt:       l.Clock.Now(),
		Deadline:         call.Deadline,
		LastEngine:       p.LastEngine,
		Avoid:            active.avoid,
		HoldTime:         l.holdTime(p),
	}
	item.Assign = func(assignment schedule.Assignment) {
		l.queue.Do(func() { l.assigned(active, assignment) })
	}
	item.Refuse = func(outcome structs.Outcome) {
		l.post(func() { l.queueRefused(active, item, outcome) })
	}
	return item
}

func (l *leader) blocksOf(p *program.Program, call *structs.Call) ([]structs.BlockHash, int64) {
	cache := l.blocks[p.Key]
	if cache == nil {
		cache = &promptBlocks{}
		l.blocks[p.Key] = cache
	}
	return cache.extend(p, call)
}

// queueRefused settles a call that the scheduler refused. An earlier attempt
// may have run, which changes the outcome.
func (l *leader) queueRefused(active *activeCall, item *schedule.Item, outcome structs.Outcome) {
	if active.item != item {
		return
	}
	active.item = nil
	l.recordStep(active.key, active.call.RequestID, "refuse", outcome.Message)
	l.settle(active, l.amendIfMayHaveRun(active, outcome))
}

// amendIfMayHaveRun turns a refusal into a failure or an unknown outcome when
// an attempt may have run: not_run is only reported when it is certain.
func (l *leader) amendIfMayHaveRun(active *activeCall, outcome structs.Outcome) structs.Outcome {
	if !active.mayHaveRun || l.Guards.SkipRunCheck {
		return outcome
	}
	if active.call.Kind == structs.CallModel {
		outcome.Status = structs.OutcomeFailed
		outcome.Cost = l.lostCost(active)
		return outcome
	}
	outcome.Status = structs.OutcomeUnknown
	return outcome
}

// lostCost is the possible cost of a call that failed because no engine took
// it: the worst case of its latest attempt, unless that certainly did not run.
// Earlier attempts are charged separately.
func (l *leader) lostCost(active *activeCall) structs.Cost {
	open := l.openCall(active)
	if open == nil || active.disproved {
		return 0
	}
	return open.Reserved
}

// assigned continues a call that was assigned to an engine: it reserves the
// worst-case cost, records the intent, and only then sends the call.
func (l *leader) assigned(active *activeCall, assignment schedule.Assignment) {
	if l.stopped || active.item != assignment.Item {
		l.Scheduler.Finished(assignment, schedule.Result{})
		return
	}
	active.item = nil
	active.assignment = &assignment
	if l.openCall(active) == nil {
		active.leaveScheduler(schedule.Result{})
		return
	}
	l.recordDecision(active.key, structs.Decision{
		At:        l.Clock.Now(),
		RequestID: active.call.RequestID,
		Step:      "route",
		Detail:    fmt.Sprintf("Engine %s: %s", assignment.Engine, assignment.Reason),
		Scores:    assignment.Scores,
	})
	price := l.priceOf(l.machine.Program(active.key), active.call)
	active.transferRequested = false
	hold := l.newHoldID(active, &assignment)
	l.recordIntent(active, intent{backEnd: assignment.Engine, backEndRun: assignment.EngineRun, price: price, hold: hold})
}

// priceOf returns the current price of a call.
func (l *leader) priceOf(p *program.Program, call *structs.Call) structs.Price {
	if call.Kind != structs.CallModel {
		return structs.Price{Call: p.ApplicationCost}
	}
	return resolve.ModelPrice(l.Configurations.Current(), call.Model)
}

// intent describes a dispatch before it is made.
type intent struct {
	backEnd     structs.EngineID
	backEndRun  int64
	price       structs.Price
	hold        structs.HoldID
	reservation program.Reservation
	// dispatch numbers the call's dispatches, from 1.
	dispatch int
}

func (l *leader) nextAttempt(active *activeCall) int {
	if open := l.openCall(active); open != nil {
		return open.Attempt + 1
	}
	return 1
}

func (l *leader) openCall(active *activeCall) *program.CallState {
	p := l.machine.Program(active.key)
	if p == nil {
		return nil
	}
	return p.OpenCall(active.call.RequestID)
}

// recordIntent reserves the cost and records the intent; the call is sent after
// the acknowledgement.
func (l *leader) recordIntent(active *activeCall, plan intent) {
	p, open := l.machine.Program(active.key), l.openCall(active)
	if open == nil {
		active.leaveScheduler(schedule.Result{})
		return
	}
	active.adoptPrefix()
	reservation, refusal := l.machine.Reserve(p, l.describeAttempt(active, open, plan.price))
	if refusal != nil && !l.Guards.SkipBudget {
		l.recordStep(active.key, active.call.RequestID, "refuse", refusal.Message)
		l.settle(active, l.amendIfMayHaveRun(active, *refusal))
		return
	}
	if l.exceedsAllowance(active, reservation.Cost) {
		active.leaveScheduler(schedule.Result{})
		active.stage = stageWaiting
		l.waitForBudget(p, active)
		return
	}
	plan.reservation = l.reservationWithoutBudget(active, reservation)
	plan.dispatch = open.Attempt + 1
	record := structs.Record{At: l.Clock.Now(), CallDispatched: &structs.CallDispatched{
		Key:            active.key,
		RequestID:      active.call.RequestID,
		Attempt:        plan.dispatch,
		BackEnd:        plan.backEnd,
		Epoch:          l.leadership.Epoch(),
		BackEndRun:     plan.backEndRun,
		Reserved:       plan.reservation.Cost,
		Price:          plan.price,
		PreviousNotRun: active.disproved,
		Hold:           plan.hold,

		AnswerPrefix: active.text.String(),
	}}
	active.stage = stageRecording
	active.disproved = false
	if open.Attempt == 0 {
		l.retries.firstAttempt()
	}
	if l.Guards.SkipIntent {
		l.propose([]structs.Record{record}, func() {})
		l.send(active, plan)
		return
	}
	l.propose([]structs.Record{record}, func() { l.intentRecorded(active, plan, record.At) })
}

// describeAttempt collects the inputs of a reservation.
func (l *leader) describeAttempt(active *activeCall, open *program.CallState, price structs.Price) program.Attempt {
	attempt := program.Attempt{
		Call:          active.call,
		Price:         price,
		ContextTokens: l.Configurations.Current().Models[active.call.Model].ContextTokens,
		AnswerPrefix:  active.text.String(),
	}
	if active.disproved {
		attempt.Freed = open.Reserved
	}
	return attempt
}

// reservationWithoutBudget fills in a reservation that was refused but is
// ignored by SkipBudget.
func (l *leader) reservationWithoutBudget(active *activeCall, reservation program.Reservation) program.Reservation {
	if l.Guards.SkipBudget && reservation.MaximumTokens == 0 {
		reservation.MaximumTokens = max(active.call.MaximumTokens, 1)
	}
	return reservation
}

// intentRecorded sends the call, after the cache transfer if one is planned. A
// leader that stalled after it proposed the intent may have been replaced
// without knowing, so it confirms its leadership first.
func (l *leader) intentRecorded(active *activeCall, plan intent, proposedAt time.Time) {
	if active.stage != stageRecording {
		return
	}
	if l.transferCache(active, plan, func() { l.intentRecorded(active, plan, proposedAt) }) {
		return
	}
	if l.Clock.Now().Sub(proposedAt) <= l.Settings.ConfirmAfter {
		l.send(active, plan)
		return
	}
	l.leadership.Confirm(func(err error) {
		if err == nil && !l.stopped && active.stage == stageRecording {
			l.send(active, plan)
		}
	})
}
