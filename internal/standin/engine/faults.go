package engine

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/standin/control"
)

// Faults are the faults of an engine.
type Faults struct {
	control.ServiceFaults
	// Slowness multiplies the duration of every step; 0 and 1 are normal.
	Slowness float64 `json:"slowness,omitempty"`
	// Draining refuses new attempts and finishes running ones.
	Draining bool `json:"draining,omitempty"`
	// LoadLag, EventDelay and EventLoss override the engine's parameters when
	// set.
	LoadLag    *control.Duration `json:"load_lag,omitempty"`
	EventDelay *control.Duration `json:"event_delay,omitempty"`
	EventLoss  *float64          `json:"event_loss,omitempty"`
	// CutStreams is the fraction of streams whose connection breaks after
	// CutAfter bytes of answer text; their attempts continue.
	CutStreams float64 `json:"cut_streams,omitempty"`
	CutAfter   int64   `json:"cut_after,omitempty"`
	// StallStreams is the fraction of streams that send nothing more after
	// CutAfter bytes and stay open; their attempts continue.
	StallStreams float64 `json:"stall_streams,omitempty"`
}

// Validate implements control.Validator.
func (f Faults) Validate() error {
	if err := f.ServiceFaults.Validate(); err != nil {
		return err
	}
	if f.Slowness < 0 {
		return eris.Wrap(control.ErrInvalidFault, "slowness must not be below zero")
	}
	if f.EventLoss != nil {
		if err := control.ValidateFraction("event_loss", *f.EventLoss); err != nil {
			return err
		}
	}
	if err := control.ValidateFraction("stall_streams", f.StallStreams); err != nil {
		return err
	}
	return control.ValidateFraction("cut_streams", f.CutStreams)
}

// applyFaults passes the faults that concern the model on to it.
func (e *Engine) applyFaults(faults Faults) {
	publication := e.settings.Parameters.Publication
	if faults.LoadLag != nil {
		publication.LoadLag = time.Duration(*faults.LoadLag)
	}
	if faults.EventDelay != nil {
		publication.EventDelay = time.Duration(*faults.EventDelay)
	}
	if faults.EventLoss != nil {
		publication.EventLoss = *faults.EventLoss
	}
	e.queue.Do(func() {
		e.model.SetPublication(publication)
		e.model.SetSlowness(faults.Slowness)
		e.model.Drain(faults.Draining)
	})
}

// withFaults handles a short request under the faults.
func (e *Engine) withFaults(handle func(http.ResponseWriter, *http.Request) func()) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.Faults.Get().Serve(e.chance, w, r, func() func() { return handle(w, r) })
	}
}
