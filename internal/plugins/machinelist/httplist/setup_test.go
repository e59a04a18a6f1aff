package httplist

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/standin/machinelist"
	"github.com/mintpulley/mintpulley/internal/structs"
)

var (
	engineRow = structs.Machine{Kind: structs.MachineEngine, Address: "10.0.0.1:8000", Zone: "a", Region: "r", State: structs.MachineLive}
	toolRow   = structs.Machine{Kind: structs.MachineTool, Address: "10.0.0.2:8000", Name: "stock", Zone: "a", Region: "r", State: structs.MachineLeaving}
)

// read performs one read of the list served by handler.
func read(t *testing.T, handler http.Handler, since framework.ListVersion) (framework.ListResponse, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	list := New(framework.DriverSettings{Addresses: []string{server.Listener.Addr().String()}, Timeout: 10 * time.Second})
	type answer struct {
		response framework.ListResponse
		err      error
	}
	answers := make(chan answer, 1)
	list.List(since, func(response framework.ListResponse, err error) { answers <- answer{response, err} })
	got := <-answers
	return got.response, got.err
}

func TestVersionedServiceReturnsChanges(t *testing.T) {
	service := machinelist.New([]structs.Machine{engineRow}, 0)
	first, err := read(t, service, "")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(framework.FullListResponse(first.Version, []structs.Machine{engineRow}), first); diff != "" {
		t.Error(diff)
	}
	service.Put(toolRow)
	second, err := read(t, service, first.Version)
	if err != nil {
		t.Fatal(err)
	}
	want := framework.ListResponse{Version: second.Version, Since: first.Version, Machines: []structs.Machine{toolRow}, Total: 2}
	if diff := cmp.Diff(want, second); diff != "" {
		t.Error(diff)
	}
}

func TestBareArrayIsTheWholeList(t *testing.T) {
	plain := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(` [{"kind":"engine","address":"10.0.0.1:8000","zone":"a","region":"r","state":"live"}]`))
	})
	got, err := read(t, plain, "7")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(framework.FullListResponse("", []structs.Machine{engineRow}), got); diff != "" {
		t.Error(diff)
	}
}

func TestMalformedListFails(t *testing.T) {
	for _, body := range []string{"[{", `"rows"`, `{"machines":7}`} {
		_, err := read(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }), "")
		if !errors.Is(err, framework.ErrUnreachable) {
			t.Errorf("%s: error %v", body, err)
		}
	}
}
