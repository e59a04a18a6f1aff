package engine

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// put sets faults over HTTP while the engine runs.
func (h *harness) put(faults string) {
	h.Helper()
	request, err := http.NewRequest(http.MethodPut, h.url+"/faults", strings.NewReader(faults))
	if err != nil {
		h.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		h.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		h.Fatalf("faults %s: status %d", faults, response.StatusCode)
	}
}

// events returns the sequence numbers of the visible cache events.
func (h *harness) events() map[uint64]bool {
	h.Helper()
	seen := map[uint64]bool{}
	err := ask(func(done func(error)) {
		h.driver.CacheEvents(h.id, 0, func(events []structs.CacheEvent, err error) {
			for _, event := range events {
				seen[event.Sequence] = true
			}
			done(err)
		})
	})
	if err != nil {
		h.Fatal(err)
	}
	return seen
}

// eventually polls a condition that the engine's goroutines bring about.
func (h *harness) eventually(what string, condition func() bool) {
	h.Helper()
	deadline := time.Now().Add(longTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			h.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (h *harness) running() int {
	h.Helper()
	return h.load().Running
}

func TestLoadReportsLagOnDemand(t *testing.T) {
	h := newHarness(t, nil)
	h.put(`{"load_lag":"1h"}`)
	<-h.start(h.request("long", "[[tokens=100000]]")).first
	if got := h.running(); got != 0 {
		t.Errorf("a report of an hour ago shows %d attempts", got)
	}
	h.put(`{}`)
	h.eventually("a fresh report", func() bool { return h.running() == 1 })
}

// TestCacheEventsAreDelayedAndLost stores other blocks with every prompt and
// checks delay and loss of the events.
func TestCacheEventsAreDelayedAndLost(t *testing.T) {
	h := newHarness(t, nil)
	run := func(name string) {
		h.end(h.start(h.request(name, strings.Repeat(name+" ", 400)+"[[tokens=1]]")))
	}
	run("first")
	published := h.events()
	h.put(`{"event_loss":1}`)
	run("lost")
	if got := h.events(); len(got) != len(published) {
		t.Errorf("%d events are visible, want the %d from before", len(got), len(published))
	}
	h.put(`{"event_delay":"1h"}`)
	run("late")
	if got := h.events(); len(got) != len(published) {
		t.Errorf("%d events are visible before their delay, want %d", len(got), len(published))
	}
	h.put(`{}`)
	run("last")
	got, highest := h.events(), uint64(0)
	for sequence := range got {
		highest = max(highest, sequence)
	}
	if len(got) <= len(published) || uint64(len(got)) >= highest {
		t.Errorf("%d events up to number %d: no gap shows what was lost", len(got), highest)
	}
}

func TestStalledStreamsAndSlowness(t *testing.T) {
	h := newHarness(t, nil)
	h.put(`{"stall_streams":1,"cut_after":20}`)
	stalled := h.start(h.request("stalled", "[[tokens=50]]"))
	<-stalled.first
	h.eventually("the end of the attempt behind a stalled stream", func() bool {
		return h.inspect("stalled", 1).State == framework.AttemptDone
	})
	select {
	case end := <-stalled.ended:
		t.Errorf("the stalled stream ended: %+v", end)
	default:
	}
	h.put(`{"slowness":1000000}`)
	slow := h.start(h.request("slow", "[[tokens=50]]"))
	h.eventually("the slow attempt's start", func() bool { return h.running() == 1 })
	select {
	case <-slow.first:
		t.Error("a slowed step ended too early")
	default:
	}
}

func TestEngineThatIsDown(t *testing.T) {
	h := newHarness(t, nil)
	h.put(`{"down":true}`)
	err := ask(func(done func(error)) {
		h.driver.Load(h.id, func(_ structs.LoadReport, err error) { done(err) })
	})
	if err == nil {
		t.Error("an engine that is down reports its load")
	}
	if end := h.end(h.start(h.request("a", "x"))); end.Kind == framework.EndCompleted {
		t.Errorf("an engine that is down answered: %+v", end)
	}
	h.put(`{}`)
	if end := h.end(h.start(h.request("b", "[[tokens=1]]"))); end.Kind != framework.EndCompleted {
		t.Errorf("end %+v after the fault", end)
	}
}
