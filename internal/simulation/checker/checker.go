package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/simulation/drivers"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// callKey names a request fleet-wide.
type callKey struct {
	program structs.ProgramKey
	request structs.RequestID
}

// answer is what one caller was told.
type answer struct {
	at      time.Time
	outcome structs.Outcome
	// text is what the caller put together from the pieces it got.
	text string
}

// callRecord is all that is known from outside of one request.
type callRecord struct {
	call structs.Call
	// ordinal is the place in which the program issued it, from 1.
	ordinal  int
	issuedAt time.Time
	answers  []answer
	runs     []run
}

// run is one execution at a back end.
type run struct {
	backEnd   structs.EngineID
	startedAt time.Time
	endedAt   time.Time
	kind      framework.EndKind
	text      string
}

// programRecord is all that is known from outside of one program.
type programRecord struct {
	key      structs.ProgramKey
	template structs.TemplateName
	calls    []*callRecord
	endedAt  time.Time
}

// Checker collects what was seen and judges it.
type Checker struct {
	clock    *clock.Virtual
	programs map[structs.ProgramKey]*programRecord
	order    []*programRecord
	calls    map[callKey]*callRecord
	// authors tells which requests sent a text as their new message: one, or
	// several of one program that repeats itself.
	authors  map[string][]*callRecord
	leaving  map[structs.EngineID]*leavingRecord
	fences   map[structs.EngineID]uint64
	fleet    *configurationWatch
	findings []Finding
	seen     map[string]bool
}

// New returns a checker that has seen nothing.
func New(c *clock.Virtual) *Checker {
	return &Checker{
		clock:    c,
		programs: map[structs.ProgramKey]*programRecord{},
		calls:    map[callKey]*callRecord{},
		authors:  map[string][]*callRecord{},
		leaving:  map[structs.EngineID]*leavingRecord{},
		fences:   map[structs.EngineID]uint64{},
		fleet:    newConfigurationWatch(),
		seen:     map[string]bool{},
	}
}

// Findings returns the broken promises found so far.
func (c *Checker) Findings() []Finding { return c.findings }

// Report notes a broken promise; the same words count once.
func (c *Checker) Report(violation Violation, format string, arguments ...any) {
	detail := fmt.Sprintf(format, arguments...)
	if c.seen[string(violation)+detail] {
		return
	}
	c.seen[string(violation)+detail] = true
	c.findings = append(c.findings, Finding{Violation: violation, At: c.clock.Now(), Detail: detail})
}

// RecordCall notes that a program issued a call for the first time.
func (c *Checker) RecordCall(call structs.Call) {
	p := c.programs[call.Key]
	if p == nil {
		p = &programRecord{key: call.Key, template: call.Template}
		c.programs[call.Key] = p
		c.order = append(c.order, p)
	}
	record := &callRecord{call: call, ordinal: len(p.calls) + 1, issuedAt: c.clock.Now()}
	p.calls = append(p.calls, record)
	c.calls[callKey{call.Key, call.RequestID}] = record
	if len(call.Messages) > 0 {
		own := call.Messages[len(call.Messages)-1].Content
		c.authors[own] = append(c.authors[own], record)
	}
}

// RecordOutcome notes what a caller was told about a request, and the answer text
// that it has put together over all its connections.
func (c *Checker) RecordOutcome(key structs.ProgramKey, request structs.RequestID, outcome structs.Outcome, text string) {
	record := c.calls[callKey{key, request}]
	if record == nil {
		return
	}
	record.answers = append(record.answers, answer{at: c.clock.Now(), outcome: outcome, text: text})
	c.checkAnswer(record, outcome, text)
	p := c.programs[key]
	closes := record.call.EndProgram && outcome.Status == structs.OutcomeCompleted
	if p.endedAt.IsZero() && (closes || outcome.Reason == structs.ReasonProgramEnded) {
		p.endedAt = c.clock.Now()
	}
	if outcome.Reason == structs.ReasonUnknownProgram {
		c.checkForgotten(p, record)
	}
}

// ReportUnanswered notes a caller that was left without any outcome although it kept
// asking and nothing was wrong any more.
func (c *Checker) ReportUnanswered(key structs.ProgramKey, request structs.RequestID) {
	c.Report(AnswerIncomplete, "%s %s: the caller never got an outcome", key, request)
}

// checkAnswer judges an answer against the caller's own pieces.
func (c *Checker) checkAnswer(record *callRecord, outcome structs.Outcome, text string) {
	if outcome.Status != structs.OutcomeCompleted {
		return
	}
	key, request := record.call.Key, record.call.RequestID
	if record.call.Kind != structs.CallModel {
		own := drivers.ApplicationAnswer(structs.NewAttemptID(key, request))
		if string(outcome.Body) != own {
			c.Report(AnswerIncomplete, "%s %s: the application's answer %q is another's", key, request, outcome.Body)
		}
		return
	}
	if text != outcome.Answer.Content {
		c.Report(AnswerIncomplete, "%s %s: pieces of %d bytes make no answer of %d bytes", key, request, len(text), len(outcome.Answer.Content))
	}
}

// ReportMisplacedChunk notes a piece that left a gap or came twice.
func (c *Checker) ReportMisplacedChunk(key structs.ProgramKey, request structs.RequestID, have, offset int64) {
	c.Report(AnswerIncomplete, "%s %s: a piece at %d came when the caller had %d bytes", key, request, offset, have)
}

// RecordApplicationRun notes an effect at an application back end.
func (c *Checker) RecordApplicationRun(request framework.ApplicationRequest) {
	record := c.attempt(request.Program, request.Attempt)
	if record == nil {
		return
	}
	now := c.clock.Now()
	record.runs = append(record.runs, run{backEnd: request.BackEnd, startedAt: now, endedAt: now, kind: framework.EndCompleted})
}

// attempt finds the request that an attempt identifier names.
func (c *Checker) attempt(key structs.ProgramKey, attempt structs.AttemptID) *callRecord {
	p := c.programs[key]
	if p == nil {
		return nil
	}
	for _, record := range p.calls {
		if structs.NewAttemptID(key, record.call.RequestID) == attempt {
			return record
		}
	}
	return nil
}

// Finish judges the whole run. engines gives each engine's own record; prices
// and budgets are those of the configuration.
func (c *Checker) Finish(engines []*drivers.Engine, tariff Tariff) {
	var runs []*drivers.EngineRun
	for _, engine := range engines {
		for _, run := range engine.Runs {
			if run.Kind != framework.EndRejected {
				runs = append(runs, run)
			}
		}
	}
	slices.SortStableFunc(runs, func(a, b *drivers.EngineRun) int {
		return cmp.Or(a.StartedAt.Compare(b.StartedAt), cmp.Compare(a.Request.Attempt, b.Request.Attempt), cmp.Compare(a.Engine, b.Engine))
	})
	for _, engineRun := range runs {
		c.addEngineRun(engineRun)
	}
	for _, engineRun := range runs {
		c.checkPrompt(engineRun)
	}
	for _, p := range c.order {
		c.checkOrder(p)
		c.checkRuns(p)
	}
	c.checkBudgets(runs, tariff)
}

func (c *Checker) addEngineRun(r *drivers.EngineRun) {
	record := c.attempt(r.Request.Program, r.Request.Attempt)
	if record == nil {
		c.Report(HistoryMixed, "engine %s ran %s, which nobody issued", r.Engine, r.Request.Attempt)
		return
	}
	record.runs = append(record.runs, run{backEnd: r.Engine, startedAt: r.StartedAt, endedAt: r.EndedAt, kind: r.Kind, text: r.Text})
}

// checkRuns compares what callers were told with what back ends did.
func (c *Checker) checkRuns(p *programRecord) {
	for _, record := range p.calls {
		for _, answer := range record.answers {
			c.checkAgainstRuns(p, record, answer)
		}
		once := record.call.Kind != structs.CallModel && !record.call.Repeatable
		if once && len(record.runs) > 1 {
			c.Report(RanMoreThanOnce, "%s %s ran %d times: %s", p.key, record.call.RequestID, len(record.runs), describeRuns(record.runs))
		}
	}
}

func (c *Checker) checkAgainstRuns(p *programRecord, record *callRecord, a answer) {
	if a.outcome.Status == structs.OutcomeNotRun && len(record.runs) > 0 {
		c.Report(RefusalWasRun, "%s %s was refused (%s) and ran: %s", p.key, record.call.RequestID, a.outcome.Reason, describeRuns(record.runs))
	}
	if a.outcome.Status != structs.OutcomeCompleted || record.call.Kind != structs.CallModel {
		return
	}
	whole := slices.ContainsFunc(record.runs, func(r run) bool { return r.kind == framework.EndCompleted && r.text == a.text })
	if !whole {
		c.Report(AnswerIncomplete, "%s %s: no engine gave the answer of %d bytes that the caller got: %s", p.key, record.call.RequestID, len(a.text), describeRuns(record.runs))
	}
}

func describeRuns(runs []run) string {
	text := ""
	for _, r := range runs {
		text += fmt.Sprintf("[%s %s-%s %s %d bytes]", r.backEnd, r.startedAt.Format("05.000"), r.endedAt.Format("05.000"), r.kind, len(r.text))
	}
	return text
}

// Executions returns how many calls back ends ran, and how many runs came on
// top of a call's first.
func (c *Checker) Executions() (first, further int) {
	for _, p := range c.order {
		for _, record := range p.calls {
			first += min(len(record.runs), 1)
			further += max(len(record.runs)-1, 0)
		}
	}
	return first, further
}
