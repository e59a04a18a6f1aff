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

// callKey identifies a request within the fleet.
type callKey struct {
	program structs.ProgramKey
	request structs.RequestID
}

// answer is an outcome that a caller received.
type answer struct {
	at      time.Time
	outcome structs.Outcome
	// text is the answer text that the caller assembled from the chunks it
	// received.
	text string
}

// callRecord is what was observed of one request from outside the daemons.
type callRecord struct {
	call structs.Call
	// ordinal is the position of the call within its program, from 1.
	ordinal  int
	issuedAt time.Time
	answers  []answer
	runs     []run
}

// run is one execution of a call at a back end.
type run struct {
	backEnd   structs.EngineID
	startedAt time.Time
	endedAt   time.Time
	kind      framework.EndKind
	text      string
}

// programRecord is what was observed of one program from outside the daemons.
type programRecord struct {
	key      structs.ProgramKey
	template structs.TemplateName
	calls    []*callRecord
	endedAt  time.Time
}

// Checker records what is observed of a fleet and checks it for violations.
type Checker struct {
	clock       *clock.Virtual
	programs    map[structs.ProgramKey]*programRecord
	programList []*programRecord
	calls       map[callKey]*callRecord
	// callsByMessage maps the text of a new message to the calls that sent it.
	// Several calls share a text only in a program that repeats its calls.
	callsByMessage map[string][]*callRecord
	leaving        map[structs.EngineID]*leavingRecord
	highestFences  map[structs.EngineID]uint64
	configurations *propagation
	findings       []Finding
	reported       map[string]bool
}

// New returns an empty checker.
func New(c *clock.Virtual) *Checker {
	return &Checker{
		clock:          c,
		programs:       map[structs.ProgramKey]*programRecord{},
		calls:          map[callKey]*callRecord{},
		callsByMessage: map[string][]*callRecord{},
		leaving:        map[structs.EngineID]*leavingRecord{},
		highestFences:  map[structs.EngineID]uint64{},
		configurations: newPropagation(),
		reported:       map[string]bool{},
	}
}

// Findings returns the violations found so far.
func (c *Checker) Findings() []Finding { return c.findings }

// Report adds a violation; a repeated one with the same text counts once.
func (c *Checker) Report(violation Violation, format string, arguments ...any) {
	detail := fmt.Sprintf(format, arguments...)
	if c.reported[string(violation)+detail] {
		return
	}
	c.reported[string(violation)+detail] = true
	c.findings = append(c.findings, Finding{Violation: violation, At: c.clock.Now(), Detail: detail})
}

// RecordCall records the first time that a program issues a call.
func (c *Checker) RecordCall(call structs.Call) {
	p := c.programs[call.Key]
	if p == nil {
		p = &programRecord{key: call.Key, template: call.Template}
		c.programs[call.Key] = p
		c.programList = append(c.programList, p)
	}
	record := &callRecord{call: call, ordinal: len(p.calls) + 1, issuedAt: c.clock.Now()}
	p.calls = append(p.calls, record)
	c.calls[callKey{call.Key, call.RequestID}] = record
	if len(call.Messages) > 0 {
		newMessage := call.Messages[len(call.Messages)-1].Content
		c.callsByMessage[newMessage] = append(c.callsByMessage[newMessage], record)
	}
}

// RecordOutcome records the outcome that a caller received for a request, and
// the answer text that it has assembled over all its connections.
func (c *Checker) RecordOutcome(key structs.ProgramKey, request structs.RequestID, outcome structs.Outcome, text string) {
	record := c.calls[callKey{key, request}]
	if record == nil {
		return
	}
	record.answers = append(record.answers, answer{at: c.clock.Now(), outcome: outcome, text: text})
	c.checkAnswer(record, outcome, text)
	p := c.programs[key]
	endsProgram := record.call.EndProgram && outcome.Status == structs.OutcomeCompleted
	if p.endedAt.IsZero() && (endsProgram || outcome.Reason == structs.ReasonProgramEnded) {
		p.endedAt = c.clock.Now()
	}
	if outcome.Reason == structs.ReasonUnknownProgram {
		c.checkUnknownProgram(p, record)
	}
}

// ReportUnanswered reports a request whose caller received no outcome although
// it kept retrying and all faults were over.
func (c *Checker) ReportUnanswered(key structs.ProgramKey, request structs.RequestID) {
	c.Report(AnswerIncomplete, "%s %s: the caller received no outcome", key, request)
}

// checkAnswer compares the outcome with the text that the caller assembled, or
// with the application's expected answer.
func (c *Checker) checkAnswer(record *callRecord, outcome structs.Outcome, text string) {
	if outcome.Status != structs.OutcomeCompleted {
		return
	}
	key, request := record.call.Key, record.call.RequestID
	if record.call.Kind != structs.CallModel {
		expected := drivers.ApplicationAnswer(structs.NewAttemptID(key, request))
		if string(outcome.Body) != expected {
			c.Report(AnswerIncomplete, "%s %s: the application's answer %q belongs to another call", key, request, outcome.Body)
		}
		return
	}
	if text != outcome.Answer.Content {
		c.Report(AnswerIncomplete, "%s %s: the caller assembled %d bytes of an answer of %d bytes", key, request, len(text), len(outcome.Answer.Content))
	}
}

// ReportMisplacedChunk reports a chunk that leaves a gap or repeats earlier
// text.
func (c *Checker) ReportMisplacedChunk(key structs.ProgramKey, request structs.RequestID, have, offset int64) {
	c.Report(AnswerIncomplete, "%s %s: a chunk at offset %d arrived when the caller had %d bytes", key, request, offset, have)
}

// RecordApplicationRun records the execution of a request at an application
// back end.
func (c *Checker) RecordApplicationRun(request framework.ApplicationRequest) {
	record := c.callOfAttempt(request.Program, request.Attempt)
	if record == nil {
		return
	}
	now := c.clock.Now()
	record.runs = append(record.runs, run{backEnd: request.BackEnd, startedAt: now, endedAt: now, kind: framework.EndCompleted})
}

// callOfAttempt returns the record of the call that an attempt belongs to, or
// nil.
func (c *Checker) callOfAttempt(key structs.ProgramKey, attempt structs.AttemptID) *callRecord {
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

// Finish runs the checks that need the whole run. engines hold their own
// records of what they ran; tariff holds the configured prices and budgets.
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
	for _, p := range c.programList {
		c.checkOrder(p)
		c.checkRuns(p)
	}
	c.checkBudgets(runs, tariff)
}

func (c *Checker) addEngineRun(r *drivers.EngineRun) {
	record := c.callOfAttempt(r.Request.Program, r.Request.Attempt)
	if record == nil {
		c.Report(HistoryMixed, "engine %s ran %s, which no caller issued", r.Engine, r.Request.Attempt)
		return
	}
	record.runs = append(record.runs, run{backEnd: r.Engine, startedAt: r.StartedAt, endedAt: r.EndedAt, kind: r.Kind, text: r.Text})
}

// checkRuns compares the outcomes that callers received with what back ends
// ran.
func (c *Checker) checkRuns(p *programRecord) {
	for _, record := range p.calls {
		for _, answer := range record.answers {
			c.checkAnswerAgainstRuns(p, record, answer)
		}
		runsOnce := record.call.Kind != structs.CallModel && !record.call.Repeatable
		if runsOnce && len(record.runs) > 1 {
			c.Report(RanMoreThanOnce, "%s %s ran %d times: %s", p.key, record.call.RequestID, len(record.runs), describeRuns(record.runs))
		}
	}
}

func (c *Checker) checkAnswerAgainstRuns(p *programRecord, record *callRecord, a answer) {
	if a.outcome.Status == structs.OutcomeNotRun && len(record.runs) > 0 {
		c.Report(RefusalWasRun, "%s %s was refused (%s) but ran: %s", p.key, record.call.RequestID, a.outcome.Reason, describeRuns(record.runs))
	}
	if a.outcome.Status != structs.OutcomeCompleted || record.call.Kind != structs.CallModel {
		return
	}
	givenByEngine := slices.ContainsFunc(record.runs, func(r run) bool { return r.kind == framework.EndCompleted && r.text == a.text })
	if !givenByEngine {
		c.Report(AnswerIncomplete, "%s %s: no engine produced the answer of %d bytes that the caller received: %s", p.key, record.call.RequestID, len(a.text), describeRuns(record.runs))
	}
}

func describeRuns(runs []run) string {
	text := ""
	for _, r := range runs {
		text += fmt.Sprintf("[%s %s-%s %s %d bytes]", r.backEnd, r.startedAt.Format("05.000"), r.endedAt.Format("05.000"), r.kind, len(r.text))
	}
	return text
}

// Executions returns how many calls were run by back ends, and how many further
// runs of these calls there were.
func (c *Checker) Executions() (first, further int) {
	for _, p := range c.programList {
		for _, record := range p.calls {
			first += min(len(record.runs), 1)
			further += max(len(record.runs)-1, 0)
		}
	}
	return first, further
}
