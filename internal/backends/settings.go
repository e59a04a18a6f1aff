package backends

import "time"

// Settings are the intervals, timeouts and bounds of a Directory.
type Settings struct {
	// ListInterval is the pause between reads of the platform's list.
	ListInterval time.Duration
	// FullListEvery is after how many reads of changes the full list is read again.
	FullListEvery int
	// LoadInterval is the pause between polls of an engine in a small fleet, where
	// every daemon polls every engine.
	LoadInterval time.Duration
	// FailureLimit is the number of consecutive failed polls, and ReportTimeout the
	// duration of a single poll, after which an engine gets no new work.
	FailureLimit  int
	ReportTimeout time.Duration
	// ListHoldDown is how long a machine must be listed as live, after it was listed
	// as leaving or not at all, before it gets new work: the list lags, and a read may
	// return an older state.
	ListHoldDown time.Duration
	// DrainHoldDown is how long an engine's announcement that it is draining overrides
	// reports of the same run that do not say so, since reports lag.
	DrainHoldDown time.Duration
	// ProbeInterval is the pause between probes of an application that is draining or
	// unreachable.
	ProbeInterval time.Duration
	// HoldSweepInterval is the pause between sweeps for orphaned holds on engine
	// memory.
	HoldSweepInterval time.Duration
	// HoldReportEvery is after how many sweeps a hold is reported again.
	HoldReportEvery int

	// DirectDaemons and DirectEngines bound the size of a fleet in which every daemon
	// polls every engine. Larger fleets are divided into cells.
	DirectDaemons int
	DirectEngines int
	// CellDaemons is the minimum mean number of daemons in a cell; the maximum is
	// twice that.
	CellDaemons int
	// WatchInterval is the pause between a watcher's polls of an engine; it sends a
	// summary of every SummaryEvery-th poll to its cell.
	WatchInterval time.Duration
	SummaryEvery  int
	// FindInterval is the pause between requests to other cells for engines of models
	// that the own cell lacks. Each time FindFanout cells are asked for up to
	// FindModels models, and report up to FindEngines engines for each.
	FindInterval time.Duration
	FindFanout   int
	FindModels   int
	FindEngines  int
	// BorrowDuration is how long such an engine is used before it is looked up again.
	BorrowDuration time.Duration
	// LargeFleetListInterval replaces ListInterval in a fleet of several cells.
	LargeFleetListInterval time.Duration
	// LargeFleetHoldSweepInterval replaces HoldSweepInterval in a fleet of several
	// cells.
	LargeFleetHoldSweepInterval time.Duration
}

// DefaultSettings returns settings for the fleet sizes of docs/CAPACITY.md.
func DefaultSettings() Settings {
	return Settings{
		ListInterval:                time.Second,
		FullListEvery:               1200,
		LoadInterval:                500 * time.Millisecond,
		FailureLimit:                3,
		ReportTimeout:               2 * time.Second,
		ListHoldDown:                10 * time.Second,
		DrainHoldDown:               15 * time.Second,
		ProbeInterval:               2 * time.Second,
		HoldSweepInterval:           15 * time.Second,
		HoldReportEvery:             4,
		DirectDaemons:               16,
		DirectEngines:               64,
		CellDaemons:                 8,
		WatchInterval:               5 * time.Second,
		SummaryEvery:                2,
		FindInterval:                time.Second,
		FindFanout:                  8,
		FindModels:                  4,
		FindEngines:                 3,
		BorrowDuration:              5 * time.Minute,
		LargeFleetListInterval:      3 * time.Second,
		LargeFleetHoldSweepInterval: 5 * time.Minute,
	}
}
