package relay

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/route"
)

// logTo replaces the relay by one that logs to output.
func (h *harness) logTo(output *bytes.Buffer) {
	options := h.relay.Options
	options.Logger = zerolog.New(output)
	options.Metrics = NewMetrics(prometheus.NewRegistry())
	h.metrics = append(h.metrics, options.Metrics)
	h.relay = New(options)
}

func TestAnsweredTurnLogsItsFields(t *testing.T) {
	h := newHarness(t, step{body: "id: 1\ndata: x\n\n"})
	var output bytes.Buffer
	h.logTo(&output)
	h.serve(newTurn(newRoute(route.KindStream)))
	var line map[string]any
	if err := json.Unmarshal(output.Bytes(), &line); err != nil {
		t.Fatalf("%v in %q", err, output.String())
	}
	for _, field := range []string{
		"request", "program", "route", "instance", "status", "offers", "runs", "held", "events", "first_event",
		"granted_after", "underway", "history", "instances_age", "routes_version",
	} {
		if _, there := line[field]; !there {
			t.Errorf("field %s is missing in %s", field, output.String())
		}
	}
}

func TestAnswersAreSampledInLogsAndRefusalsAreNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 400
		h := newHarness(t, step{})
		var output bytes.Buffer
		h.logTo(&output)
		for range calls {
			h.serve(newCall(newRoute(route.KindOnce)))
		}
		want := routineLogBurst + (calls-routineLogBurst)/sampleInterval
		if got := strings.Count(output.String(), "Request answered."); got < routineLogBurst || got > want+1 {
			t.Errorf("%d of %d answers were logged, want about %d", got, calls, want)
		}
		output.Reset()
		h.pool.Replace(nil)
		time.Sleep(5 * time.Second)
		h.pool.Replace(nil)
		for range calls {
			h.serve(newCall(newRoute(route.KindOnce)))
		}
		if got := strings.Count(output.String(), "Request refused."); got != calls {
			t.Errorf("%d of %d refusals were logged", got, calls)
		}
	})
}
