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
	// crashInterval is the interval between crashes at a chosen point.
	crashInterval = 6 * time.Second
	// restartDelay is the time after which a crashed daemon restarts.
	restartDelay = 4 * time.Second
)

// crashInjector crashes a daemon when it reaches a chosen point in the
// processing of an application request, at most once per crashInterval.
type crashInjector struct {
	run   *Run
	armed bool
	// recording is the address of the daemon that has received an answer and is
	// about to record it.
	recording string
}

func newCrashInjector(r *Run) *crashInjector {
	c := &crashInjector{run: r}
	c.rearm()
	return c
}

func (c *crashInjector) rearm() {
	c.armed = true
	c.run.After(crashInterval, c.rearm)
}

// crash crashes the daemon at an address.
func (c *crashInjector) crash(address string) {
	d := c.run.daemonAt(address)
	if !c.armed || c.run.healed || d == nil {
		return
	}
	c.armed = false
	c.recording = ""
	c.run.Crash(d, restartDelay)
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
		crashScenario("crash_before_intent", "The leader crashes when a request reaches it.", crashBeforeIntent),
		crashScenario("crash_after_intent", "The leader crashes between recording the intent and sending the request.", crashAfterIntent),
		crashScenario("crash_after_send", "The leader crashes when the request reaches the back end.", crashAfterSend),
		crashScenario("crash_after_effect", "The leader crashes when the request has taken effect at the back end.", crashAfterEffect),
		crashScenario("crash_before_answer", "The leader crashes when the back end's answer arrives.", crashBeforeAnswer),
		crashScenario("crash_before_acknowledgement", "The leader crashes while it records the outcome.", crashBeforeAcknowledgement),
		crashScenario("crash_before_outcome", "The leader crashes when it sends the outcome to the caller's daemon.", crashBeforeOutcome),
	}
}

func crashBeforeIntent(r *Run) {
	c := newCrashInjector(r)
	r.onMessage(func(_, to structs.DaemonID, kind peer.Kind) {
		if kind == dispatch.KindSubmit {
			c.crash(to.Address())
		}
	})
}

func crashAfterIntent(r *Run) {
	c := newCrashInjector(r)
	r.Cluster.Applications.BeforeSend = func(from place, _ applicationRequest) { c.crash(from.Address) }
}

func crashAfterSend(r *Run) {
	c := newCrashInjector(r)
	for _, application := range r.Cluster.ApplicationList {
		previous := application.OnRequest
		application.OnRequest = func(request applicationRequest, accepted bool, from place) {
			previous(request, accepted, from)
			c.crash(from.Address)
		}
	}
}

func crashAfterEffect(r *Run) {
	c := newCrashInjector(r)
	for _, application := range r.Cluster.ApplicationList {
		previous := application.OnEffect
		application.OnEffect = func(request applicationRequest) {
			previous(request)
			if d := r.leader(request.Program); d != nil {
				c.crash(d.Address)
			}
		}
	}
}

func crashBeforeAnswer(r *Run) {
	c := newCrashInjector(r)
	r.Cluster.Applications.BeforeAnswer = func(from place, _ applicationRequest) { c.crash(from.Address) }
}

// crashBeforeAcknowledgement crashes the leader when its first follower has
// received the outcome, before the acknowledgement arrives.
func crashBeforeAcknowledgement(r *Run) {
	c := newCrashInjector(r)
	r.Cluster.Applications.BeforeAnswer = func(from place, _ applicationRequest) { c.recording = from.Address }
	r.onMessage(func(from, _ structs.DaemonID, kind peer.Kind) {
		if from.Address() == c.recording && strings.HasSuffix(string(kind), ".append") {
			c.crash(from.Address())
		}
	})
}

func crashBeforeOutcome(r *Run) {
	c := newCrashInjector(r)
	r.Cluster.Network.OnSend = func(from, _ structs.DaemonID, _ peer.Class, kind peer.Kind, _ int) {
		if kind == dispatch.KindSettled {
			c.crash(from.Address())
		}
	}
}

// onMessage adds a listener to messages that arrive.
func (r *Run) onMessage(listener func(from, to structs.DaemonID, kind peer.Kind)) {
	previous := r.Cluster.Network.OnReceive
	r.Cluster.Network.OnReceive = func(from, to structs.DaemonID, kind peer.Kind, bytes int) {
		previous(from, to, kind, bytes)
		listener(from, to, kind)
	}
}
