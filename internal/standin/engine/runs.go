package engine

import (
	"slices"
	"sync"

	"github.com/mintpulley/mintpulley/internal/enginemodel"
)

// maximumRuns limits the ended attempts that are remembered.
const maximumRuns = 1 << 16

// runLog records attempts for checks by tests; it survives restarts.
type runLog struct {
	mutex sync.Mutex
	ended []enginemodel.AttemptRun
	open  []enginemodel.AttemptRun
}

var _ enginemodel.Recorder = (*runLog)(nil)

// AttemptStarted implements enginemodel.Recorder.
func (l *runLog) AttemptStarted(run enginemodel.AttemptRun) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open = append(l.open, run)
}

// AttemptEnded implements enginemodel.Recorder.
func (l *runLog) AttemptEnded(run enginemodel.AttemptRun) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open = slices.DeleteFunc(l.open, func(other enginemodel.AttemptRun) bool { return other.Attempt == run.Attempt })
	l.ended = append(l.ended, run)
	if len(l.ended) > maximumRuns {
		l.ended = l.ended[1:]
	}
}

// list returns the ended attempts, followed by the open ones.
func (l *runLog) list() []enginemodel.AttemptRun {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Concat([]enginemodel.AttemptRun{}, l.ended, l.open)
}
