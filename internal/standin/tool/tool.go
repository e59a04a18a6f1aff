// Package tool is a stand-in for a tool service whose look-ups answer or hang.
// Its operations have no lasting effect, so it counts calls and has no fences.
package tool

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/standin/control"
)

const (
	// pathOperations is the path prefix of a look-up's name.
	pathOperations = "/operations/"
	// bodyLimit is the maximum size of a request in bytes.
	bodyLimit = 1 << 20
	// answerValues is the exclusive upper bound of the numbers that look-ups
	// return.
	answerValues = 100_000
)

// Faults are the faults of a tool service.
type Faults struct {
	control.ServiceFaults
	// Fail is the fraction of look-ups answered with status 500.
	Fail float64 `json:"fail,omitempty"`
}

// Validate implements control.Validator.
func (f Faults) Validate() error {
	if err := f.ServiceFaults.Validate(); err != nil {
		return err
	}
	return control.ValidateFraction("fail", f.Fail)
}

// Tool is the stand-in. It implements http.Handler: POST /operations/NAME
// performs a look-up, GET /calls returns how often each was called, GET
// /attempts reports every attempt as absent, GET and PUT /faults.
type Tool struct {
	// Faults may be set at any time.
	Faults control.Faults[Faults]

	chance *control.Chance
	mutex  sync.Mutex
	calls  map[string]int
}

// New returns a tool service without calls.
func New() *Tool { return &Tool{chance: control.NewChance(1), calls: map[string]int{}} }

// Calls returns how often each look-up was called.
func (t *Tool) Calls() map[string]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	calls := map[string]int{}
	for name, count := range t.calls {
		calls[name] = count
	}
	return calls
}

// ServeHTTP implements http.Handler.
func (t *Tool) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, isOperation := strings.CutPrefix(r.URL.Path, pathOperations)
	switch {
	case isOperation && r.Method == http.MethodPost:
		t.serveOperation(w, r, name)
	case r.URL.Path == "/attempts":
		control.WriteJSON(w, framework.AttemptStatus{State: framework.AttemptAbsent})
	case r.URL.Path == "/calls":
		control.WriteJSON(w, t.Calls())
	case r.URL.Path == control.PathFaults:
		t.Faults.ServeHTTP(w, r)
	default:
		http.NotFound(w, r)
	}
}

// lookup is the body of a look-up's answer.
type lookup struct {
	Name  string `json:"name"`
	Value uint32 `json:"value"`
}

func (t *Tool) serveOperation(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := t.Faults.Get()
	faults.Serve(t.chance, w, r, func() func() {
		t.mutex.Lock()
		t.calls[name]++
		t.mutex.Unlock()
		if t.chance.Happens(faults.Fail) {
			return func() { http.Error(w, "the look-up failed", http.StatusInternalServerError) }
		}
		return func() { control.WriteJSON(w, lookup{Name: name, Value: valueOf(name, body)}) }
	})
}

// valueOf returns a number that depends only on the look-up's name and body.
func valueOf(name string, body []byte) uint32 {
	digest := fnv.New32a()
	_, _ = fmt.Fprintf(digest, "%s\n%s", name, body)
	return digest.Sum32() % answerValues
}
