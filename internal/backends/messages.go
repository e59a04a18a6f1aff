package backends

import (
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Leaving passes on a back end's announcement that it is draining.
type Leaving struct {
	BackEnd structs.EngineID `json:"b"`
	// Run is the run that announced it, 0 when unknown.
	Run int64 `json:"r,omitempty"`
}

// Loads sends a watcher's load summaries to its cell.
type Loads struct {
	Summaries []LoadSummary `json:"l"`
}

// LoadSummary is a load report with short JSON keys.
type LoadSummary struct {
	Engine structs.EngineID    `json:"e"`
	Models []structs.ModelName `json:"m"`
	// Adapters lists the loaded adapters.
	Adapters []structs.ModelAdapter `json:"a,omitempty"`
	Role     structs.EngineRole     `json:"o"`
	Running  int                    `json:"r,omitempty"`
	Waiting  int                    `json:"w,omitempty"`
	Queued   int64                  `json:"q,omitempty"`
	Maximum  int                    `json:"x"`
	Cached   int64                  `json:"u,omitempty"`
	Cache    int64                  `json:"c"`
	Held     int64                  `json:"h,omitempty"`
	// Failed is set when the watcher cannot read the engine.
	Failed   bool  `json:"f,omitempty"`
	Draining bool  `json:"d,omitempty"`
	Run      int64 `json:"s"`
}

func summaryOf(report structs.LoadReport) LoadSummary {
	return LoadSummary{
		Engine:   report.Engine,
		Models:   report.Models,
		Adapters: loadedAdapters(report),
		Role:     report.Role,
		Running:  report.Running,
		Waiting:  report.Waiting,
		Queued:   report.QueuedPrefillTokens,
		Maximum:  report.MaximumRunning,
		Cached:   report.CacheTokens,
		Cache:    report.CacheCapacityTokens,
		Held:     report.HeldTokens,
		Draining: report.Draining,
		Run:      report.StartedUnixNano,
	}
}

func (s LoadSummary) report() structs.LoadReport {
	return structs.LoadReport{
		Engine:              s.Engine,
		Models:              s.Models,
		Adapters:            s.adapters(),
		Role:                s.Role,
		Running:             s.Running,
		Waiting:             s.Waiting,
		QueuedPrefillTokens: s.Queued,
		MaximumRunning:      s.Maximum,
		CacheTokens:         s.Cached,
		CacheCapacityTokens: s.Cache,
		HeldTokens:          s.Held,
		Draining:            s.Draining,
		StartedUnixNano:     s.Run,
	}
}

// loadedAdapters returns the adapters that are loaded, not those still loading.
func loadedAdapters(report structs.LoadReport) []structs.ModelAdapter {
	var loaded []structs.ModelAdapter
	for _, adapter := range report.Adapters {
		if !adapter.Loading {
			loaded = append(loaded, adapter.ModelAdapter)
		}
	}
	return loaded
}

func (s LoadSummary) adapters() []structs.EngineAdapter {
	var adapters []structs.EngineAdapter
	for _, adapter := range s.Adapters {
		adapters = append(adapters, structs.EngineAdapter{ModelAdapter: adapter})
	}
	return adapters
}

// FindEngines asks another cell for engines that serve the given models or adapters.
type FindEngines struct {
	Models []structs.ModelAdapter `json:"m"`
}

// EnginesFound answers FindEngines.
type EnginesFound struct {
	Summaries []LoadSummary `json:"l"`
}

// Message kinds of this package.
const (
	KindFind    peer.Kind = "backends.find"
	KindFound   peer.Kind = "backends.found"
	KindLeaving peer.Kind = "backends.leaving"
	KindLoads   peer.Kind = "backends.loads"
)

// MessageKind implements peer.Message.
func (*Leaving) MessageKind() peer.Kind { return KindLeaving }

// MessageKind implements peer.Message.
func (*Loads) MessageKind() peer.Kind { return KindLoads }

// MessageKind implements peer.Message.
func (*FindEngines) MessageKind() peer.Kind { return KindFind }

// MessageKind implements peer.Message.
func (*EnginesFound) MessageKind() peer.Kind { return KindFound }

func init() {
	peer.Register(peer.ClassControl, &FindEngines{})
	peer.Register(peer.ClassControl, &EnginesFound{})
	peer.Register(peer.ClassControl, &Leaving{})
	peer.Register(peer.ClassControl, &Loads{})
}
