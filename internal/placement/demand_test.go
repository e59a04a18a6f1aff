package placement

import (
	"testing"

	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/structs"
)

func TestLongDemandReportsRotate(t *testing.T) {
	const adapters = 75
	waiting := []ModelWaiting{{ModelAdapter: structs.ModelAdapter{Model: small}, Calls: 5}}
	for number := range adapters {
		waiting = append(waiting, ModelWaiting{ModelAdapter: adapterOf(number), Calls: 1})
	}
	m := &Manager{}
	reported := map[structs.ModelAdapter]int{}
	for range 3 {
		report := m.rotate(waiting)
		if len(report) != 1+maximumReportedAdapters {
			t.Errorf("%d entries in one report", len(report))
		}
		for _, entry := range report {
			reported[entry.ModelAdapter]++
		}
	}
	if len(reported) != 1+adapters || reported[structs.ModelAdapter{Model: small}] != 3 {
		t.Errorf("three reports had %d distinct entries, want %d", len(reported), 1+adapters)
	}
}

// A daemon that no longer leads a control shard still receives demand for it.
func TestDemandIsRedirectedToLeader(t *testing.T) {
	w := newWorld()
	w.manager.Follow(0)
	for _, known := range []structs.DaemonID{"successor", "d"} {
		w.routed, w.learned = known, nil
		w.manager.Receive("other", &Demand{Shard: 0})
		want := replication.Route{Leader: known, Epoch: w.group.epoch}
		if known == w.manager.Self {
			// It knows only that it is not the leader.
			want = replication.Route{}
		}
		if len(w.learned) != 1 || w.learned[0] != want {
			t.Errorf("the sender learned %+v, want %+v", w.learned, want)
		}
	}
}

func TestConfigurationBoundsLoadingEngines(t *testing.T) {
	w := newAdapterWorld(4)
	configuration := *w.current
	configuration.Fleet.WeightReaders = 2
	w.current = &configuration
	w.engines.loadTime = w.manager.Settings.OrderTimeout
	w.setDemand(1, 0, 1, 2, 3)
	w.run(w.manager.Settings.OrderTimeout / 2)
	if got := len(w.engines.orders); got != 2 {
		t.Errorf("%d engines were ordered to load, want two", got)
	}
}

func TestSummariesOmitUnwantedAdapters(t *testing.T) {
	entry := func(number, changing int) ModelLoad {
		return ModelLoad{ModelAdapter: adapterOf(number), Engines: 1, Loading: changing}
	}
	fleet := loads{}
	fleet.of(adapterOf(1)).Waiting = 1
	told := relevantLoads([]ModelLoad{entry(0, 0), entry(1, 0), entry(2, 1)}, fleet)
	if len(told) != 2 || told[0].ModelAdapter != adapterOf(1) || told[1].ModelAdapter != adapterOf(2) {
		t.Errorf("told of %+v", told)
	}
}
