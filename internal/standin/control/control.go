// Package control holds what all stand-ins share: faults that can be changed
// at run time, and JSON requests and answers.
package control

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// PathFaults is the path at which a stand-in's faults are read (GET) and set
// (PUT).
const PathFaults = "/faults"

// bodyLimit is the maximum size of a control request in bytes.
const bodyLimit = 1 << 20

// ErrInvalidFault is wrapped by errors of invalid faults.
var ErrInvalidFault = eris.New("invalid fault")

// Duration is a time.Duration that is encoded as text such as "200ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Wrap(ErrInvalidFault, err.Error())
	}
	if parsed < 0 {
		return eris.Wrap(ErrInvalidFault, "a duration is below zero")
	}
	*d = Duration(parsed)
	return nil
}

// Validator validates its own fields.
type Validator interface{ Validate() error }

// Faults holds the faults of a stand-in. It is safe for concurrent use.
type Faults[T Validator] struct {
	mutex   sync.Mutex
	value   T
	changed func(T)
}

// OnChange registers a callback for each change, and calls it once now.
func (f *Faults[T]) OnChange(changed func(T)) {
	f.mutex.Lock()
	f.changed = changed
	value := f.value
	f.mutex.Unlock()
	changed(value)
}

// Get returns the current faults.
func (f *Faults[T]) Get() T {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.value
}

// Set validates faults and replaces all current ones.
func (f *Faults[T]) Set(value T) error {
	if err := value.Validate(); err != nil {
		return err
	}
	f.mutex.Lock()
	f.value = value
	changed := f.changed
	f.mutex.Unlock()
	if changed != nil {
		changed(value)
	}
	return nil
}

// ServeHTTP implements http.Handler: GET reads the faults, PUT replaces them.
// A field missing in a PUT means no fault.
func (f *Faults[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		WriteJSON(w, f.Get())
	case http.MethodPut:
		var value T
		if !ReadJSON(w, r, &value) {
			return
		}
		if err := f.Set(value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		WriteJSON(w, value)
	default:
		http.Error(w, "use GET or PUT", http.StatusMethodNotAllowed)
	}
}

// ReadJSON decodes a body strictly: an unknown field is an error. It answers
// bad requests itself and returns false for them.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err == nil {
		decoder := json.NewDecoder(bytes.NewReader(body))
		decoder.DisallowUnknownFields()
		err = decoder.Decode(value)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON answers with a value.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// ValidateFraction returns an error that names the field unless its value is
// from 0 to 1.
func ValidateFraction(field string, value float64) error {
	if value < 0 || value > 1 {
		return eris.Wrapf(ErrInvalidFault, "%s must be 0 to 1", field)
	}
	return nil
}

// Chance draws random events from a seed. It is safe for concurrent use.
type Chance struct {
	mutex  sync.Mutex
	random *rand.Rand
}

// NewChance returns a Chance whose draws depend only on the seed.
func NewChance(seed uint64) *Chance {
	return &Chance{random: rand.New(rand.NewPCG(seed, seed))}
}

// Happens returns true with the given probability.
func (c *Chance) Happens(probability float64) bool {
	if probability <= 0 {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.random.Float64() < probability
}

// Pause waits for a duration. It returns false if the request's caller
// disconnects first.
func Pause(r *http.Request, d Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	timer := time.NewTimer(time.Duration(d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// Hang blocks a request without an answer until its caller disconnects.
func Hang(r *http.Request) { <-r.Context().Done() }

// AbortConnection closes the connection without an answer.
func AbortConnection() { panic(http.ErrAbortHandler) }
