package control

import (
	"net/http"
)

// ServiceFaults are the faults common to all HTTP services.
type ServiceFaults struct {
	// Down answers every request with status 503.
	Down bool `json:"down,omitempty"`
	// Delay precedes any effect of a request.
	Delay Duration `json:"delay,omitempty"`
	// Hang is the fraction of requests that are never answered and have no
	// effect.
	Hang float64 `json:"hang,omitempty"`
	// LoseRequests is the fraction of requests whose connection breaks before
	// they have any effect.
	LoseRequests float64 `json:"lose_requests,omitempty"`
	// LoseAnswers is the fraction of requests that take effect and whose
	// connection breaks in place of the answer.
	LoseAnswers float64 `json:"lose_answers,omitempty"`
}

// Validate implements Validator.
func (f ServiceFaults) Validate() error {
	if err := ValidateFraction("hang", f.Hang); err != nil {
		return err
	}
	if err := ValidateFraction("lose_requests", f.LoseRequests); err != nil {
		return err
	}
	return ValidateFraction("lose_answers", f.LoseAnswers)
}

// Serve handles a request under the faults. handle executes it and returns the
// function that answers.
func (f ServiceFaults) Serve(chance *Chance, w http.ResponseWriter, r *http.Request, handle func() (answer func())) {
	if f.Down {
		http.Error(w, "the service is down", http.StatusServiceUnavailable)
		return
	}
	if !Pause(r, f.Delay) {
		return
	}
	if chance.Happens(f.Hang) {
		Hang(r)
		return
	}
	if chance.Happens(f.LoseRequests) {
		AbortConnection()
	}
	answer := handle()
	if chance.Happens(f.LoseAnswers) {
		AbortConnection()
	}
	answer()
}
