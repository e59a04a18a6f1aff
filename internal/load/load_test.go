package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"
)

func TestShapesAreDeterministic(t *testing.T) {
	for _, workload := range []string{WorkloadTally, WorkloadChlebnet} {
		shape, err := ShapeOf(workload, StandInServices(workload))
		if err != nil {
			t.Fatal(err)
		}
		draw := func(seed uint64) (programs []Program, arrivals []time.Duration) {
			random := rand.New(rand.NewPCG(seed, seed))
			arrivals = shape.Arrivals(random, 20, time.Minute)
			for range arrivals {
				programs = append(programs, shape.Program(random))
			}
			return programs, arrivals
		}
		programs, arrivals := draw(1)
		again, _ := draw(1)
		if diff := cmp.Diff(programs, again); diff != "" {
			t.Errorf("%s: the same seed made other programs:\n%s", workload, diff)
		}
		if rate := float64(len(arrivals)) / 60; rate < 14 || rate > 26 {
			t.Errorf("%s: %.1f programs per second, want about 20", workload, rate)
		}
		agents, orders := 0, 0
		for _, program := range programs {
			agents += len(program.SubAgents)
			if program.Order {
				orders++
			}
		}
		if (workload == WorkloadTally) != (agents > 0) || (workload == WorkloadChlebnet) != (orders > 0) {
			t.Errorf("%s: %d sub-agents, %d orders", workload, agents, orders)
		}
	}
	if _, err := ShapeOf("other", nil); !eris.Is(err, ErrUnknownWorkload) {
		t.Errorf("unknown workload: %v", err)
	}
}

func TestRunCountsOutcomes(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		program := r.Header.Get("Mintpulley-Program")
		switch {
		case strings.HasSuffix(program, "-0"):
			http.Error(w, `{"error":{}}`, http.StatusServiceUnavailable)
		case strings.HasSuffix(program, "-1"):
			_, _ = fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"cut \"}}]}\n\n")
		case strings.Contains(r.URL.Path, "/applications/"):
			_, _ = fmt.Fprint(w, "{}")
		default:
			_, _ = fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"two words \"}}]}\n\ndata: [DONE]\n\n")
		}
	}))
	defer server.Close()
	result, err := Run(context.Background(), Options{
		Addresses: []string{server.Listener.Addr().String()}, Workload: WorkloadChlebnet,
		Services: StandInServices(WorkloadChlebnet), Rate: 100, Duration: 200 * time.Millisecond, Seed: 3,
	})
	if err != nil {
		t.Fatal(err)
	}
	if result.Programs < 5 || result.Refused != 1 || result.Failed != 1 || result.Completed != result.Programs-2 {
		t.Errorf("result %+v", result)
	}
	if result.ProgramLatency.Count != result.Completed || result.Tokens < 2*result.Completed || result.FirstError == "" {
		t.Errorf("result %+v", result)
	}
}
