package machinelist

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/standin/control"
	"github.com/mintpulley/mintpulley/internal/structs"
)

func states(l *List) map[string]structs.MachineState {
	got := map[string]structs.MachineState{}
	for _, machine := range l.published() {
		got[machine.Address] = machine.State
	}
	return got
}

func TestChangesShowAfterTheLag(t *testing.T) {
	l := New([]structs.Machine{{Address: "a", State: structs.MachineLive}}, time.Hour)
	l.Put(structs.Machine{Address: "a", State: structs.MachineLeaving})
	if diff := cmp.Diff(map[string]structs.MachineState{"a": structs.MachineLive}, states(l)); diff != "" {
		t.Error(diff)
	}
	_ = l.Faults.Set(Faults{})
	if diff := cmp.Diff(map[string]structs.MachineState{"a": structs.MachineLeaving}, states(l)); diff != "" {
		t.Error(diff)
	}
}

func TestFrozenListDoesNotChange(t *testing.T) {
	l := New(nil, 0)
	_ = l.Faults.Set(Faults{Frozen: true})
	l.Put(structs.Machine{Address: "a"})
	if got := states(l); len(got) != 0 {
		t.Errorf("the frozen list shows %v", got)
	}
	_ = l.Faults.Set(Faults{})
	if got := states(l); len(got) != 1 {
		t.Errorf("the list shows %v, want one machine", got)
	}
}

func TestMachinesOverHTTP(t *testing.T) {
	l := New(nil, 0)
	server := httptest.NewServer(l)
	defer server.Close()
	send := func(method, path, body string) int {
		request, _ := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		response, err := server.Client().Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	send(http.MethodPut, "/machines/127.0.0.1:1", `{"kind":"engine","state":"live"}`)
	send(http.MethodPut, "/machines/127.0.0.1:2", `{"kind":"engine","state":"leaving"}`)
	send(http.MethodDelete, "/machines/127.0.0.1:1", "")
	if diff := cmp.Diff(map[string]structs.MachineState{"127.0.0.1:2": structs.MachineLeaving}, states(l)); diff != "" {
		t.Error(diff)
	}
	_ = l.Faults.Set(Faults{ServiceFaults: control.ServiceFaults{Down: true}})
	if status := send(http.MethodGet, "/machines", ""); status != http.StatusServiceUnavailable {
		t.Errorf("status %d while down", status)
	}
}

func TestChangesSinceAVersion(t *testing.T) {
	live := structs.Machine{Address: "a", State: structs.MachineLive}
	leaving := structs.Machine{Address: "b", State: structs.MachineLeaving}
	l := New([]structs.Machine{live}, 0)
	first := l.read("")
	if diff := cmp.Diff(framework.FullListResponse(first.Version, []structs.Machine{live}), first); diff != "" {
		t.Error(diff)
	}
	l.Put(leaving)
	l.Remove("a")
	second := l.read(first.Version)
	want := framework.ListResponse{Version: second.Version, Since: first.Version, Machines: []structs.Machine{leaving}, Removed: []string{"a"}, Total: 1}
	if diff := cmp.Diff(want, second); diff != "" {
		t.Error(diff)
	}
	unchanged := l.read(second.Version)
	if diff := cmp.Diff(framework.ListResponse{Version: second.Version, Since: second.Version, Total: 1}, unchanged); diff != "" {
		t.Error(diff)
	}
}

func TestUnknownVersionGetsTheFullList(t *testing.T) {
	l := New([]structs.Machine{{Address: "a"}}, 0)
	first := l.read("").Version
	for range 2 * keptVersions {
		l.Put(structs.Machine{Address: "a"})
		l.read("")
	}
	other := New([]structs.Machine{{Address: "a"}}, 0).read("").Version
	for _, since := range []framework.ListVersion{first, other, "nonsense"} {
		if response := l.read(since); response.Since != "" || len(response.Machines) != 1 {
			t.Errorf("since %q: %+v, want the full list", since, response)
		}
	}
}

func TestFrozenListRevertsANewerVersion(t *testing.T) {
	l := New([]structs.Machine{{Address: "a"}}, 0)
	_ = l.Faults.Set(Faults{Frozen: true})
	l.Put(structs.Machine{Address: "b"})
	_ = l.Faults.Set(Faults{})
	later := l.read("").Version
	l.frozen, l.isFrozen = l.history[0], true
	response := l.read(later)
	if diff := cmp.Diff([]string{"b"}, response.Removed); diff != "" {
		t.Error(diff)
	}
}
