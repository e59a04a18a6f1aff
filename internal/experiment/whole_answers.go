package experiment

import (
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// wholeAnswers forwards the first chunk of each answer, which determines the
// time to the first token, and all others together at the end: the
// measurements do not depend on the chunks between, and these are most of a
// run's cost.
type wholeAnswers struct{ framework.EngineDriver }

// Start implements framework.EngineDriver.
func (w wholeAnswers) Start(request framework.EngineRequest, observer framework.EngineObserver) framework.Stream {
	return w.EngineDriver.Start(request, &wholeAnswer{observer: observer})
}

type wholeAnswer struct {
	observer framework.EngineObserver
	begun    bool
	rest     []structs.Chunk
}

// Chunks implements framework.EngineObserver.
func (w *wholeAnswer) Chunks(chunks []structs.Chunk) {
	if w.begun {
		w.rest = append(w.rest, chunks...)
		return
	}
	w.begun = true
	w.observer.Chunks(chunks)
}

// End implements framework.EngineObserver.
func (w *wholeAnswer) End(end framework.AttemptEnd) {
	if len(w.rest) > 0 {
		w.observer.Chunks(w.rest)
	}
	w.observer.End(end)
}
