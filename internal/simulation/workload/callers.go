package workload

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/simulation/checker"
	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
	"github.com/mintpulley/mintpulley/internal/simulation/network"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Names that the configuration of a simulated fleet uses.
const (
	Model    structs.ModelName    = "m1"
	Target                        = "wholesale"
	Template structs.TemplateName = "order"
)

// Statistics count what became of programs and calls.
type Statistics struct {
	Started   int
	Completed int
	Refused   int
	Failed    int
	Unknown   int
	Abandoned int
	// RefusedCalls counts outcomes "not run".
	RefusedCalls int
}

// Callers runs programs against a fleet.
type Callers struct {
	Statistics Statistics
	// OnlyGracefulStops is set in runs without any fault but planned stops.
	OnlyGracefulStops bool
	// Impatient callers come back at once after a refusal, whatever they were
	// told, and never give up.
	Impatient bool
	// OnProgramEnd is told of each program's end.
	OnProgramEnd func(plan *Plan, end End)
	// OnEvent is told of each thing that a caller does or hears.
	OnEvent func(what string, key structs.ProgramKey, request structs.RequestID, detail string)

	cluster *cluster.Cluster
	checker *checker.Checker
	random  *rand.Rand
	live    int
	open    map[*reader]struct{}
	known   map[structs.ProgramKey]bool
	kills   []kill
	delays  []time.Duration
}

// kill is a daemon's death, for the time until its programs are answered.
type kill struct {
	at     time.Time
	run    structs.DaemonID
	shards map[structs.ShardNumber]bool
}

// NewCallers returns callers without programs.
func NewCallers(c *cluster.Cluster, watcher *checker.Checker) *Callers {
	callers := &Callers{
		OnProgramEnd: func(*Plan, End) {},
		OnEvent:      func(string, structs.ProgramKey, structs.RequestID, string) {},
		cluster:      c,
		checker:      watcher,
		random:       c.Random("callers"),
		open:         map[*reader]struct{}{},
		known:        map[structs.ProgramKey]bool{},
	}
	c.OnRequestCut = callers.stopCut
	return callers
}

// place is where callers stand: in a zone of their own.
func (c *Callers) place() network.Place {
	return network.Place{Address: "callers", Zone: "callers", Region: "r1"}
}

// Busy tells whether any program is under way or any caller still waits.
func (c *Callers) Busy() bool { return c.live > 0 || len(c.open) > 0 }

// HasStarted tells whether a program of this key was started.
func (c *Callers) HasStarted(key structs.ProgramKey) bool { return c.known[key] }

// Start sets a program going.
func (c *Callers) Start(plan *Plan) { c.start(plan, nil) }

func (c *Callers) start(plan *Plan, onEnd func()) {
	c.Statistics.Started++
	c.known[plan.Key] = true
	c.live++
	p := &program{callers: c, plan: plan, onEnd: onEnd}
	p.next()
}

func (c *Callers) ended(p *program) {
	c.live--
	c.OnProgramEnd(p.plan, p.end)
	c.OnEvent("end", p.plan.Key, "", fmt.Sprint(p.end))
	switch p.end {
	case EndCompleted:
		c.Statistics.Completed++
	case EndRefused:
		c.Statistics.Refused++
	case EndFailed:
		c.Statistics.Failed++
	case EndUnknown:
		c.Statistics.Unknown++
	case EndAbandoned:
		c.Statistics.Abandoned++
	case EndNone:
	}
}

// issue sends a call, to two daemons at once when it is duplicated. A caller
// that races itself says so, since one copy's refusal then proves nothing.
func (c *Callers) issue(call structs.Call, duplicate bool, done func(structs.Outcome)) {
	c.checker.RecordCall(call)
	first := c.random.IntN(len(c.cluster.Daemons))
	if !duplicate {
		c.read(call, first, func(outcome structs.Outcome) {
			c.count(outcome)
			done(outcome)
		})
		return
	}
	call.Retry = true
	var outcomes []structs.Outcome
	collect := func(outcome structs.Outcome) {
		c.count(outcome)
		outcomes = append(outcomes, outcome)
		if len(outcomes) == 2 {
			done(best(outcomes))
		}
	}
	c.read(call, first, collect)
	c.read(call, first+1+c.random.IntN(max(len(c.cluster.Daemons)-1, 1)), collect)
}

func (c *Callers) count(outcome structs.Outcome) {
	if outcome.Status == structs.OutcomeNotRun {
		c.Statistics.RefusedCalls++
	}
}

// best prefers what says most.
func best(outcomes []structs.Outcome) structs.Outcome {
	rank := map[structs.OutcomeStatus]int{
		structs.OutcomeCompleted: 0, structs.OutcomeFailed: 1, structs.OutcomeCancelled: 2,
		structs.OutcomeUnknown: 3, structs.OutcomeNotRun: 4,
	}
	return slices.MinFunc(outcomes, func(a, b structs.Outcome) int { return cmp.Compare(rank[a.Status], rank[b.Status]) })
}

// OpenRequests are requests that were open at one moment.
type OpenRequests struct {
	readers []*reader
}

// OpenRequests returns the requests whose callers wait now, in a fixed order.
func (c *Callers) OpenRequests() OpenRequests {
	var waiting OpenRequests
	for r := range c.open {
		waiting.readers = append(waiting.readers, r)
	}
	slices.SortFunc(waiting.readers, func(a, b *reader) int {
		return cmp.Or(cmp.Compare(a.call.Key.String(), b.call.Key.String()), cmp.Compare(a.call.RequestID, b.call.RequestID))
	})
	return waiting
}

// CheckAnswered reports those of the requests that still have no outcome,
// although nothing has been wrong for a long time.
func (c *Callers) CheckAnswered(waiting OpenRequests) {
	for _, r := range waiting.readers {
		if !r.finished {
			c.checker.ReportUnanswered(r.call.Key, r.call.RequestID)
		}
	}
}

// lostConnection notes a broken connection.
func (c *Callers) lostConnection(r *reader) {
	daemon := c.cluster.Daemons[r.daemon%len(c.cluster.Daemons)]
	c.OnEvent("lost", r.call.Key, r.call.RequestID, daemon.Address)
}

// stopCut reports a request that the end of a planned stop cut off.
func (c *Callers) stopCut(daemon *cluster.Daemon, call structs.Call) {
	c.checker.Report(checker.StopCutRequest, "%s %s: the planned stop of %s broke the connection", call.Key, call.RequestID, daemon.Address)
}

// checkPlanned judges an outcome in a run whose only faults are planned stops:
// no request may come to harm.
func (c *Callers) checkPlanned(r *reader, outcome structs.Outcome) {
	if !c.OnlyGracefulStops {
		return
	}
	if outcome.Status == structs.OutcomeFailed || outcome.Status == structs.OutcomeUnknown {
		c.checker.Report(checker.StopCutRequest, "%s %s ended as %s (%s) although daemons only stopped as planned", r.call.Key, r.call.RequestID, outcome.Status, outcome.Reason)
	}
}
