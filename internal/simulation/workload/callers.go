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

// Names used in the configuration of a simulated fleet.
const (
	Model    structs.ModelName    = "m1"
	Target                        = "wholesale"
	Template structs.TemplateName = "order"
)

// Statistics count the results of programs and calls.
type Statistics struct {
	Started   int
	Completed int
	Refused   int
	Failed    int
	Unknown   int
	Abandoned int
	// RefusedCalls counts outcomes of "not run".
	RefusedCalls int
}

// Callers run programs against a fleet.
type Callers struct {
	Statistics Statistics
	// OnlyGracefulStops is set in runs whose only faults are graceful
	// shutdowns.
	OnlyGracefulStops bool
	// Impatient makes callers retry immediately after a refusal, whatever retry
	// delay they were given, and without a limit.
	Impatient bool
	// OnProgramEnd is called for each program's end.
	OnProgramEnd func(plan *Plan, end End)
	// OnEvent is called for each action of a caller and each message it
	// receives.
	OnEvent func(what string, key structs.ProgramKey, request structs.RequestID, detail string)

	cluster        *cluster.Cluster
	checker        *checker.Checker
	random         *rand.Rand
	running        int
	open           map[*pendingRequest]struct{}
	started        map[structs.ProgramKey]bool
	kills          []kill
	takeoverDelays []time.Duration
}

// kill is the crash of a daemon, kept to measure the time until callers of its
// shards are answered again.
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
		open:         map[*pendingRequest]struct{}{},
		started:      map[structs.ProgramKey]bool{},
	}
	c.OnRequestCut = callers.reportCutRequest
	return callers
}

// place is the location of callers: a zone of their own.
func (c *Callers) place() network.Place {
	return network.Place{Address: "callers", Zone: "callers", Region: "r1"}
}

// Busy reports whether any program is running or any request is open.
func (c *Callers) Busy() bool { return c.running > 0 || len(c.open) > 0 }

// HasStarted reports whether a program with this key was started.
func (c *Callers) HasStarted(key structs.ProgramKey) bool { return c.started[key] }

// Start starts a program.
func (c *Callers) Start(plan *Plan) { c.start(plan, nil) }

func (c *Callers) start(plan *Plan, onEnd func()) {
	c.Statistics.Started++
	c.started[plan.Key] = true
	c.running++
	p := &program{callers: c, plan: plan, onEnd: onEnd}
	p.next()
}

func (c *Callers) programEnded(p *program) {
	c.running--
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

// issue sends a call, to two daemons at once if duplicate. Duplicates are
// marked as retries, since a refusal of one copy does not prove that the other
// did not run.
func (c *Callers) issue(call structs.Call, duplicate bool, done func(structs.Outcome)) {
	c.checker.RecordCall(call)
	first := c.random.IntN(len(c.cluster.Daemons))
	if !duplicate {
		c.send(call, first, func(outcome structs.Outcome) {
			c.countRefusal(outcome)
			done(outcome)
		})
		return
	}
	call.Retry = true
	var outcomes []structs.Outcome
	collect := func(outcome structs.Outcome) {
		c.countRefusal(outcome)
		outcomes = append(outcomes, outcome)
		if len(outcomes) == 2 {
			done(mostConclusive(outcomes))
		}
	}
	c.send(call, first, collect)
	c.send(call, first+1+c.random.IntN(max(len(c.cluster.Daemons)-1, 1)), collect)
}

func (c *Callers) countRefusal(outcome structs.Outcome) {
	if outcome.Status == structs.OutcomeNotRun {
		c.Statistics.RefusedCalls++
	}
}

// mostConclusive returns, of the outcomes of one call's copies, the one that says
// most about the call. A refusal says least, since another copy may have run.
func mostConclusive(outcomes []structs.Outcome) structs.Outcome {
	rank := map[structs.OutcomeStatus]int{
		structs.OutcomeCompleted: 0, structs.OutcomeFailed: 1, structs.OutcomeCancelled: 2,
		structs.OutcomeUnknown: 3, structs.OutcomeNotRun: 4,
	}
	return slices.MinFunc(outcomes, func(a, b structs.Outcome) int { return cmp.Compare(rank[a.Status], rank[b.Status]) })
}

// OpenRequests is the set of requests that were open at one moment.
type OpenRequests struct {
	requests []*pendingRequest
}

// OpenRequests returns the requests that are open now, in a fixed order.
func (c *Callers) OpenRequests() OpenRequests {
	var open OpenRequests
	for r := range c.open {
		open.requests = append(open.requests, r)
	}
	slices.SortFunc(open.requests, func(a, b *pendingRequest) int {
		return cmp.Or(cmp.Compare(a.call.Key.String(), b.call.Key.String()), cmp.Compare(a.call.RequestID, b.call.RequestID))
	})
	return open
}

// CheckAnswered reports those of the requests that still have no outcome, long
// after all faults are over.
func (c *Callers) CheckAnswered(open OpenRequests) {
	for _, r := range open.requests {
		if !r.finished {
			c.checker.ReportUnanswered(r.call.Key, r.call.RequestID)
		}
	}
}

func (c *Callers) observeLostConnection(r *pendingRequest) {
	daemon := c.cluster.Daemons[r.daemon%len(c.cluster.Daemons)]
	c.OnEvent("lost", r.call.Key, r.call.RequestID, daemon.Address)
}

// reportCutRequest reports a request that was cut off at the end of a graceful
// shutdown.
func (c *Callers) reportCutRequest(daemon *cluster.Daemon, call structs.Call) {
	c.checker.Report(checker.StopCutRequest, "%s %s: the graceful shutdown of %s broke the connection", call.Key, call.RequestID, daemon.Address)
}

// checkGracefulStop reports a failed or unknown outcome in a run whose only
// faults are graceful shutdowns.
func (c *Callers) checkGracefulStop(r *pendingRequest, outcome structs.Outcome) {
	if !c.OnlyGracefulStops {
		return
	}
	if outcome.Status == structs.OutcomeFailed || outcome.Status == structs.OutcomeUnknown {
		c.checker.Report(checker.StopCutRequest, "%s %s ended as %s (%s) although the only faults were graceful shutdowns", r.call.Key, r.call.RequestID, outcome.Status, outcome.Reason)
	}
}
