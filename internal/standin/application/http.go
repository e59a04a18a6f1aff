package application

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mintpulley/mintpulley/internal/plugins/application/httpapp"
	"github.com/mintpulley/mintpulley/internal/standin/control"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// bodyLimit is the maximum size of a request in bytes.
	bodyLimit = 1 << 20
	// pathOperations is the path prefix of an operation's name.
	pathOperations = "/operations/"
)

// ServeHTTP implements http.Handler: POST /operations/NAME runs an operation,
// GET /attempts?attempt=&epoch= returns the status of one and fences it, GET
// /runs lists how often each attempt ran, POST /restart starts a new run, GET
// and PUT /faults.
func (a *Application) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, isOperation := strings.CutPrefix(r.URL.Path, pathOperations)
	switch {
	case isOperation && r.Method == http.MethodPost:
		a.serveOperation(w, r, name)
	case r.URL.Path == "/attempts" && r.Method == http.MethodGet:
		a.serveAttempt(w, r)
	case r.URL.Path == "/runs" && r.Method == http.MethodGet:
		control.WriteJSON(w, a.Runs())
	case r.URL.Path == "/restart" && r.Method == http.MethodPost:
		a.Restart()
		control.WriteJSON(w, struct{}{})
	case r.URL.Path == control.PathFaults:
		a.Faults.ServeHTTP(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (a *Application) serveOperation(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := a.Faults.Get()
	if faults.Draining {
		w.Header().Set(httpapp.HeaderRejected, "draining")
		http.Error(w, "the back end is leaving", http.StatusServiceUnavailable)
		return
	}
	epoch, _ := strconv.ParseUint(r.Header.Get(httpapp.HeaderEpoch), 10, 64)
	arrived := operation{
		attempt: structs.AttemptID(r.Header.Get(httpapp.HeaderAttempt)),
		epoch:   structs.Epoch(epoch),
		name:    name,
		body:    body,
	}
	entry := a.markReceived(arrived.attempt)
	defer a.unmarkReceived(entry)
	// A disconnect of the caller stops nothing: a received operation runs.
	time.Sleep(time.Duration(faults.Delay))
	faults.Delay = 0
	faults.Serve(a.chance, w, r, func() func() {
		return a.runOperation(w, r, faults, entry, arrived)
	})
}

// runOperation executes a received operation and returns the function that
// answers.
func (a *Application) runOperation(w http.ResponseWriter, r *http.Request, faults Faults, entry *record, arrived operation) func() {
	if a.chance.Happens(faults.Fail) {
		return func() { http.Error(w, "the operation failed", http.StatusInternalServerError) }
	}
	outcome, answer := a.run(entry, arrived)
	if outcome == verdictFenced {
		return func() {
			w.Header().Set(httpapp.HeaderRejected, "fenced")
			http.Error(w, "a higher epoch asked for this attempt", http.StatusConflict)
		}
	}
	if a.chance.Happens(faults.HangAfterEffect) {
		control.Hang(r)
	}
	control.Pause(r, faults.AnswerDelay)
	return func() {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(answer)
	}
}

func (a *Application) serveAttempt(w http.ResponseWriter, r *http.Request) {
	epoch, _ := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
	attempt := structs.AttemptID(r.URL.Query().Get("attempt"))
	faults := a.Faults.Get()
	faults.Serve(a.chance, w, r, func() func() {
		status := a.inspect(attempt, structs.Epoch(epoch))
		return func() { control.WriteJSON(w, status) }
	})
}
