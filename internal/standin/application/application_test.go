package application

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/plugins/application/httpapp"
	"github.com/mintpulley/mintpulley/internal/standin/control"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// harness is an application behind HTTP, called through the fleet's own
// driver.
type harness struct {
	app    *Application
	driver framework.ApplicationDriver
	id     structs.EngineID
}

func newHarness(t *testing.T, settings Settings) *harness {
	t.Helper()
	app := NewWithSettings(settings)
	server := httptest.NewServer(app)
	t.Cleanup(server.Close)
	return &harness{
		app:    app,
		driver: httpapp.New(framework.DriverSettings{Timeout: 5 * time.Second}),
		id:     structs.EngineID(strings.TrimPrefix(server.URL, "http://")),
	}
}

func (h *harness) begin(attempt structs.AttemptID, epoch structs.Epoch) <-chan framework.AttemptEnd {
	ended := make(chan framework.AttemptEnd, 1)
	request := framework.ApplicationRequest{BackEnd: h.id, Attempt: attempt, Epoch: epoch, Operation: "order", Body: []byte("{}")}
	h.driver.Invoke(request, func(end framework.AttemptEnd) { ended <- end })
	return ended
}

func (h *harness) invoke(attempt structs.AttemptID, epoch structs.Epoch) framework.EndKind {
	return (<-h.begin(attempt, epoch)).Kind
}

func (h *harness) inspect(t *testing.T, attempt structs.AttemptID, epoch structs.Epoch) framework.AttemptStatus {
	t.Helper()
	answered := make(chan framework.AttemptStatus, 1)
	h.driver.Inspect(h.id, attempt, epoch, func(status framework.AttemptStatus, err error) {
		if err != nil {
			t.Error(err)
		}
		answered <- status
	})
	return <-answered
}

func TestFenceRefusesLowerEpochs(t *testing.T) {
	h := newHarness(t, Settings{})
	if got := h.inspect(t, "a", 3); got.State != framework.AttemptAbsent || !got.Fenced {
		t.Errorf("status %+v", got)
	}
	kinds := []framework.EndKind{h.invoke("a", 2), h.invoke("a", 3)}
	if diff := cmp.Diff([]framework.EndKind{framework.EndRejected, framework.EndCompleted}, kinds); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(map[structs.AttemptID]int{"a": 1}, h.app.Runs()); diff != "" {
		t.Error(diff)
	}
}

func TestLostAnswerTookEffect(t *testing.T) {
	h := newHarness(t, Settings{})
	_ = h.app.Faults.Set(Faults{ServiceFaults: control.ServiceFaults{LoseAnswers: 1}})
	if kind := h.invoke("a", 1); kind != framework.EndLost {
		t.Errorf("end %q, want lost", kind)
	}
	_ = h.app.Faults.Set(Faults{})
	if got := h.inspect(t, "a", 1); got.State != framework.AttemptDone || len(got.Body) == 0 {
		t.Errorf("status %+v, want done with its answer", got)
	}
}

func TestWaitingOperationIsNotAbsent(t *testing.T) {
	h := newHarness(t, Settings{})
	_ = h.app.Faults.Set(Faults{ServiceFaults: control.ServiceFaults{Delay: control.Duration(200 * time.Millisecond)}})
	ended := h.begin("a", 1)
	time.Sleep(50 * time.Millisecond)
	_ = h.app.Faults.Set(Faults{})
	if got := h.inspect(t, "a", 2); got.State != framework.AttemptRunning {
		t.Errorf("state %q, want running", got.State)
	}
	// The inspection fenced the attempt while it waited.
	if end := <-ended; end.Kind != framework.EndRejected || len(h.app.Runs()) != 0 {
		t.Errorf("end %q, runs %v", end.Kind, h.app.Runs())
	}
}

func TestRestart(t *testing.T) {
	for _, volatile := range []bool{false, true} {
		h := newHarness(t, Settings{Volatile: volatile})
		h.invoke("a", 1)
		before := h.inspect(t, "a", 1)
		h.app.Restart()
		after := h.inspect(t, "a", 1)
		forgot := after.State == framework.AttemptAbsent
		newRun := after.StartedUnixNano > before.StartedUnixNano
		if forgot != volatile || newRun != volatile {
			t.Errorf("volatile %v: forgot %v, new run %v", volatile, forgot, newRun)
		}
		h.invoke("a", 1)
		if got := h.app.Repeated(); len(got) != 1 {
			t.Errorf("repeated %v: the run counts must survive a restart", got)
		}
	}
}

func TestDrainingAndDeduplication(t *testing.T) {
	h := newHarness(t, Settings{Deduplicate: true})
	h.invoke("a", 1)
	if kind := h.invoke("a", 1); kind != framework.EndCompleted || h.app.Runs()["a"] != 1 {
		t.Errorf("end %q, runs %v", kind, h.app.Runs())
	}
	_ = h.app.Faults.Set(Faults{Draining: true})
	if end := <-h.begin("b", 1); end.Kind != framework.EndRejected || !end.Draining {
		t.Errorf("end %+v", end)
	}
}
