package scenario

import (
	"strings"
	"time"

	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/simulation/workload"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// crashEvery is the pause between crashes at a chosen point.
	crashEvery = 6 * time.Second
	// crashRestart is how long a crashed daemon stays dead.
	crashRestart = 4 * time.Second
)

// crashPointer kills a daemon when it comes to a chosen point with an
// application request, once in a while.
type crashPointer struct {
	run   *Run
	armed bool
	// waiting names the daemon that has got an answer and is about to record
	// it.
	waiting string
}

func newCrashPointer(r *Run) *crashPointer {
	p := &crashPointer{run: r}
	p.rearm()
	return p
}

func (p *crashPointer) rearm() {
	p.armed = true
	p.run.After(crashEvery, p.rearm)
}

// strike kills the daemon at an address.
func (p *crashPointer) strike(address string) {
	d := p.run.daemonAt(address)
	if !p.armed || p.run.healed || d == nil {
		return
	}
	p.armed = false
	p.waiting = ""
	p.run.Crash(d, crashRestart)
}

func mostlyApplications(shape *workload.Shape) {
	shape.Application = 0.7
	shape.Pause = time.Second
	shape.Abandoned, shape.Looping = 0, 0
}

func crashScenario(name, summary string, faults func(*Run)) *Scenario {
	return &Scenario{
		Name:    name,
		Summary: summary,
		Shape:   mostlyApplications,
		Load:    defaultLoad(),
		Faults:  faults,
	}
}

func crashPointScenarios() []*Scenario {
	return []*Scenario{
		crashScenario("crash_before_intent", "The holder dies when a request reaches it.", crashBeforeIntent),
		crashScenario("crash_after_intent", "The holder dies between the recorded intent and the send.", crashAfterIntent),
		crashScenario("crash_after_send", "The holder dies when the request reaches the back end.", crashAfterSend),
		crashScenario("crash_after_effect", "The holder dies when the back end has taken effect.", crashAfterEffect),
		crashScenario("crash_before_answer", "The holder dies when the back end's answer arrives.", crashBeforeAnswer),
		crashScenario("crash_before_acknowledgement", "The holder dies while it records the outcome.", crashBeforeAcknowledgement),
		crashScenario("crash_before_outcome", "The holder dies when it tells the caller's daemon the outcome.", crashBeforeOutcome),
	}
}

func crashBeforeIntent(r *Run) {
	p := newCrashPointer(r)
	r.onMessage(func(_, to structs.DaemonID, kind peer.Kind) {
		if kind == dispatch.KindSubmit {
			p.strike(to.Address())
		}
	})
}

func crashAfterIntent(r *Run) {
	p := newCrashPointer(r)
	r.Cluster.Applications.BeforeSend = func(from place, _ applicationRequest) { p.strike(from.Address) }
}

func crashAfterSend(r *Run) {
	p := newCrashPointer(r)
	for _, application := range r.Cluster.ApplicationList {
		former := application.OnRequest
		application.OnRequest = func(request applicationRequest, accepted bool, from place) {
			former(request, accepted, from)
			p.strike(from.Address)
		}
	}
}

func crashAfterEffect(r *Run) {
	p := newCrashPointer(r)
	for _, application := range r.Cluster.ApplicationList {
		former := application.OnEffect
		application.OnEffect = func(request applicationRequest) {
			former(request)
			if d := r.leader(request.Program); d != nil {
				p.strike(d.Address)
			}
		}
	}
}

func crashBeforeAnswer(r *Run) {
	p := newCrashPointer(r)
	r.Cluster.Applications.BeforeAnswer = func(from place, _ applicationRequest) { p.strike(from.Address) }
}

// crashBeforeAcknowledgement kills the holder when the first of its followers
// has got the outcome and before it can know.
func crashBeforeAcknowledgement(r *Run) {
	p := newCrashPointer(r)
	r.Cluster.Applications.BeforeAnswer = func(from place, _ applicationRequest) { p.waiting = from.Address }
	r.onMessage(func(from, _ structs.DaemonID, kind peer.Kind) {
		if from.Address() == p.waiting && strings.HasSuffix(string(kind), ".append") {
			p.strike(from.Address())
		}
	})
}

func crashBeforeOutcome(r *Run) {
	p := newCrashPointer(r)
	r.Cluster.Network.OnSend = func(from, _ structs.DaemonID, _ peer.Class, kind peer.Kind, _ int) {
		if kind == dispatch.KindSettled {
			p.strike(from.Address())
		}
	}
}

// onMessage adds a listener to messages that arrive.
func (r *Run) onMessage(listener func(from, to structs.DaemonID, kind peer.Kind)) {
	former := r.Cluster.Network.OnReceive
	r.Cluster.Network.OnReceive = func(from, to structs.DaemonID, kind peer.Kind, bytes int) {
		former(from, to, kind, bytes)
		listener(from, to, kind)
	}
}
