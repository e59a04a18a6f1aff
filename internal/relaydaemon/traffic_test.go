package relaydaemon

import (
	"github.com/rs/zerolog"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/zone"
)

func TestTrafficIsCountedByKindAndDistance(t *testing.T) {
	zones := map[string]structs.ZoneName{"10.0.0.1:7000": "north-a", "10.0.0.2:7000": "north-b", "10.0.0.3:7000": "south-a"}
	sent := newTraffic(zone.NewTopology("north-a", "north", map[string]string{"north-b": "north", "south-a": "south"}), prometheus.NewRegistry(), zerolog.Nop())
	sent.members = func(address string) (membership.Member, bool) {
		name, known := zones[address]
		return membership.Member{Daemon: structs.Daemon{Zone: name}}, known
	}
	for address := range zones {
		sent.count(structs.NewDaemonID(address, 1), "a", 10)
		sent.count(structs.NewDaemonID(address, 1), "a", 1)
		sent.count(structs.NewDaemonID(address, 1), "b", 5)
	}
	sent.count(structs.NewDaemonID("10.0.0.9:7000", 1), "a", 100) // an unknown daemon
	for labels, want := range map[[2]string]float64{
		{"a", "same_zone"}: 11, {"a", "same_region"}: 111, {"a", "other_region"}: 11, {"b", "other_region"}: 5,
	} {
		var metric dto.Metric
		if err := sent.bytes.WithLabelValues(labels[0], labels[1]).Write(&metric); err != nil {
			t.Fatal(err)
		}
		if got := metric.GetCounter().GetValue(); got != want {
			t.Errorf("%v: %v bytes, want %v", labels, got, want)
		}
	}
}
