package backends

import "time"

// Settings give pauses and bounds.
type Settings struct {
	// ListInterval is the pause between readings of the platform's list.
	ListInterval time.Duration
	// FullListEvery is after how many readings of changes the whole list is
	// read again.
	FullListEvery int
	// LoadInterval is the pause between readings of an engine's report in a
	// small fleet, where every daemon reads every engine.
	LoadInterval time.Duration
	// FailureLimit is after how many failed readings in a row an engine gets
	// no new work, and ReportTimeout after how long one reading may take.
	FailureLimit  int
	ReportTimeout time.Duration
	// ListHoldDown is for how long a machine must be listed as live, after it
	// was listed as leaving or not at all, to get new work: the list lags, and
	// a lagging reader may show what was true before.
	ListHoldDown time.Duration
	// DrainHoldDown is for how long an engine's word that it is leaving outweighs
	// reports of the same run that do not say so: reports lag.
	DrainHoldDown time.Duration
	// ProbeInterval is the pause between questions to an application that is
	// leaving or was not reached.
	ProbeInterval time.Duration
	// HoldInterval is the pause between sweeps of held engine memory.
	HoldSweepInterval time.Duration
	// HoldReportEvery is after how many sweeps a hold is reported again.
	HoldReportEvery int

	// DirectDaemons and DirectEngines bound the fleet in which every daemon
	// reads every engine. Beyond it daemons and engines are divided in cells.
	DirectDaemons int
	DirectEngines int
	// CellDaemons is the least mean number of daemons in a cell; the greatest
	// is twice that.
	CellDaemons int
	// WatchInterval is the pause between readings of an engine by its watcher,
	// who passes every SummaryEvery-th on to the cell.
	WatchInterval time.Duration
	SummaryEvery  int
	// FindInterval is the pause between questions to other cells for engines of
	// models that the own cell lacks; FindFanout cells are asked each time about
	// up to FindModels models, and tell of up to FindEngines engines for each.
	FindInterval time.Duration
	FindFanout   int
	FindModels   int
	FindEngines  int
	// BorrowDuration is how long such an engine is used before it is looked for
	// again.
	BorrowDuration time.Duration
	// LargeListInterval takes the place of ListInterval.
	LargeFleetListInterval time.Duration
	// LargeHoldInterval takes the place of HoldInterval.
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
