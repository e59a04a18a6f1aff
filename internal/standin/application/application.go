// Package application is a stand-in for an application back end: the results
// feed or the wholesale order service. It counts how often each request ran.
package application

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/standin/control"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Faults are the faults of an application.
type Faults struct {
	control.ServiceFaults
	// AnswerDelay is the delay between the effect and the answer.
	AnswerDelay control.Duration `json:"answer_delay,omitempty"`
	// HangAfterEffect is the fraction of operations that take effect and are
	// never answered.
	HangAfterEffect float64 `json:"hang_after_effect,omitempty"`
	// Fail is the fraction of operations that have no effect and are answered
	// with status 500.
	Fail float64 `json:"fail,omitempty"`
	// Draining refuses new operations, as a back end does that is being
	// removed.
	Draining bool `json:"draining,omitempty"`
}

// Validate implements control.Validator.
func (f Faults) Validate() error {
	if err := f.ServiceFaults.Validate(); err != nil {
		return err
	}
	if err := control.ValidateFraction("hang_after_effect", f.HangAfterEffect); err != nil {
		return err
	}
	return control.ValidateFraction("fail", f.Fail)
}

// Settings configure an application.
type Settings struct {
	// Volatile applications lose their attempts and fences on a restart;
	// others keep them, as with a database behind them.
	Volatile bool
	// Deduplicate answers a repeated attempt with the recorded answer. Without
	// it a repeat runs again and is counted.
	Deduplicate bool
}

// Application is the stand-in; see ServeHTTP for its interface.
type Application struct {
	// Faults may be set at any time.
	Faults control.Faults[Faults]

	settings Settings
	chance   *control.Chance
	mutex    sync.Mutex
	started  int64
	records  map[structs.AttemptID]*record
	// runs counts executions for checks by tests; it survives restarts.
	runs map[structs.AttemptID]int
}

// record is the state of one attempt.
type record struct {
	fence    structs.Epoch
	received int
	ran      bool
	answer   []byte
}

// New returns a durable application that has run nothing.
func New() *Application { return NewWithSettings(Settings{}) }

// NewWithSettings returns an application that has run nothing.
func NewWithSettings(settings Settings) *Application {
	return &Application{
		settings: settings,
		chance:   control.NewChance(1),
		started:  time.Now().UnixNano(),
		records:  map[structs.AttemptID]*record{},
		runs:     map[structs.AttemptID]int{},
	}
}

// Restart starts a new run; a volatile application loses all attempts.
func (a *Application) Restart() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.started = max(time.Now().UnixNano(), a.started+1)
	if a.settings.Volatile {
		a.records = map[structs.AttemptID]*record{}
	}
}

// Runs returns how often each attempt ran, across all restarts.
func (a *Application) Runs() map[structs.AttemptID]int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	runs := map[structs.AttemptID]int{}
	for attempt, count := range a.runs {
		runs[attempt] = count
	}
	return runs
}

// Repeated returns the attempts that ran more than once, sorted.
func (a *Application) Repeated() []structs.AttemptID {
	var repeated []structs.AttemptID
	for attempt, count := range a.Runs() {
		if count > 1 {
			repeated = append(repeated, attempt)
		}
	}
	slices.SortFunc(repeated, cmp.Compare)
	return repeated
}

func (a *Application) entry(attempt structs.AttemptID) *record {
	entry := a.records[attempt]
	if entry == nil {
		entry = &record{}
		a.records[attempt] = entry
	}
	return entry
}

// verdict is the result of executing an operation.
type verdict int

const (
	verdictRan verdict = iota
	verdictRepeated
	verdictFenced
)

// operation is one received request.
type operation struct {
	attempt structs.AttemptID
	epoch   structs.Epoch
	name    string
	body    []byte
}

// result is the body of an operation's answer.
type result struct {
	Operation string `json:"operation"`
	Accepted  bool   `json:"accepted"`
	Bytes     int    `json:"bytes"`
}

// markReceived records that an operation has arrived without effect yet, so
// that an inspection meanwhile does not report it as absent.
func (a *Application) markReceived(attempt structs.AttemptID) *record {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	entry := a.entry(attempt)
	entry.received++
	return entry
}

func (a *Application) unmarkReceived(entry *record) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	entry.received--
}

// run executes an operation unless a fence forbids it.
func (a *Application) run(entry *record, arrived operation) (verdict, []byte) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if arrived.epoch < entry.fence {
		return verdictFenced, nil
	}
	if entry.ran && a.settings.Deduplicate {
		return verdictRepeated, entry.answer
	}
	a.runs[arrived.attempt]++
	entry.ran = true
	entry.answer, _ = json.Marshal(result{Operation: arrived.name, Accepted: true, Bytes: len(arrived.body)})
	return verdictRan, entry.answer
}

// inspect returns the status of an attempt and fences it.
func (a *Application) inspect(attempt structs.AttemptID, epoch structs.Epoch) framework.AttemptStatus {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	entry := a.entry(attempt)
	entry.fence = max(entry.fence, epoch)
	status := framework.AttemptStatus{State: framework.AttemptAbsent, Fenced: true}
	if a.settings.Volatile {
		status.StartedUnixNano = a.started
	}
	switch {
	case entry.ran:
		status.State = framework.AttemptDone
		status.Body = entry.answer
		status.BodyStatus = http.StatusOK
	case entry.received > 0:
		status.State = framework.AttemptRunning
	}
	return status
}
