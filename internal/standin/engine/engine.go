// Package engine is a stand-in for a model engine: package enginemodel behind
// OpenAI's HTTP API with the scheduler's extension.
package engine

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/enginemodel"
	"github.com/mintpulley/mintpulley/internal/plugins/engine/openai"
	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/serial"
	"github.com/mintpulley/mintpulley/internal/standin/control"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Settings configure one engine.
type Settings struct {
	// ID is the engine's ID in its reports; with "" the reader of a report
	// fills it in.
	ID         structs.EngineID
	Models     []structs.ModelName
	Role       structs.EngineRole
	Parameters enginemodel.Parameters
	// WeightStore is the address of the weight store; "" loads instantly.
	WeightStore string
	// Seed determines which cache events are lost.
	Seed uint64
}

// DefaultSettings returns the settings of a fast small engine for
// demonstrations and tests. Its fixed step time is less than half of that of
// enginemodel.Default, its costs per sequence and prefilled token a quarter.
func DefaultSettings(models ...structs.ModelName) Settings {
	parameters := enginemodel.Default()
	parameters.StepBase = 4 * time.Millisecond
	parameters.StepPerSequence = 50 * time.Microsecond
	parameters.StepPerContextToken = 0
	parameters.PrefillPerToken = 15 * time.Microsecond
	parameters.CoalescedSteps = 1
	return Settings{Models: models, Parameters: parameters}
}

// Engine is the stand-in. It implements http.Handler; docs/PROTOCOLS.md lists
// its paths.
type Engine struct {
	// Faults may be set at any time.
	Faults control.Faults[Faults]

	settings      Settings
	chance        *control.Chance
	mux           *http.ServeMux
	client        *http.Client
	plainAttempts atomic.Uint64
	runs          runLog

	// queue serializes access to model and reader.
	queue  serial.Queue
	model  *enginemodel.Engine
	reader *enginemodel.PromptReader
}

// New returns a running engine. It panics on settings that
// enginemodel.Parameters.Validate refuses.
func New(settings Settings) *Engine {
	e := &Engine{
		settings: settings,
		chance:   control.NewChance(settings.Seed),
		mux:      http.NewServeMux(),
		client:   &http.Client{},
		reader:   enginemodel.NewPromptReader(settings.Parameters.AnswerTokens),
	}
	model, err := enginemodel.New(e.options())
	if err != nil {
		panic(fmt.Sprintf("engine stand-in: %v", err))
	}
	e.model = model
	e.Faults.OnChange(e.applyFaults)
	e.registerRoutes()
	return e
}

func (e *Engine) options() enginemodel.Options {
	options := enginemodel.Options{
		ID:         e.settings.ID,
		Clock:      clock.System(),
		Random:     rand.New(rand.NewPCG(e.settings.Seed, 1)),
		Parameters: e.settings.Parameters,
		Models:     e.settings.Models,
		Role:       e.settings.Role,
		Recorder:   &e.runs,
		Serialize:  e.queue.Do,
	}
	if e.settings.WeightStore != "" {
		options.Weights = &weightClient{engine: e, address: e.settings.WeightStore}
	}
	return options
}

func (e *Engine) registerRoutes() {
	e.mux.HandleFunc("POST "+openai.PathCompletions, e.serveCompletion)
	e.mux.HandleFunc("GET /v1/models", e.withFaults(e.serveModels))
	e.mux.HandleFunc("GET "+openai.PathAttempts, e.withFaults(e.serveInspect))
	e.mux.HandleFunc("POST "+openai.PathCancel, e.withFaults(e.serveCancel))
	e.mux.HandleFunc("GET "+openai.PathHolds, e.withFaults(e.serveHolds))
	e.mux.HandleFunc("POST "+openai.PathRelease, e.withFaults(e.serveRelease))
	e.mux.HandleFunc("GET "+openai.PathLoad, e.withFaults(e.serveLoad))
	e.mux.HandleFunc("GET "+openai.PathCacheEvents, e.withFaults(e.serveCacheEvents))
	e.mux.HandleFunc("POST "+openai.PathOrders, e.withFaults(e.serveOrder))
	e.mux.HandleFunc("POST "+openai.PathTransfer, e.withFaults(e.serveTransfer))
	e.mux.HandleFunc("GET "+openai.PathExport, e.withFaults(e.serveExport))
	e.mux.HandleFunc("GET /statistics", e.serveStatistics)
	e.mux.HandleFunc("GET /runs", e.serveRuns)
	e.mux.HandleFunc("POST /restart", e.serveRestart)
	e.mux.Handle(control.PathFaults, &e.Faults)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// HoldCount returns the number of holds.
func (e *Engine) HoldCount() int {
	count := 0
	e.queue.Wait(func() { count = len(e.model.Holds()) })
	return count
}

// Restart loses all state, as a crash of the engine's process does: streams
// break and nothing of the previous run is kept.
func (e *Engine) Restart() {
	e.queue.Wait(func() {
		e.model.Crash()
		e.model.Boot()
		e.model.Drain(e.Faults.Get().Draining)
	})
}

// Statistics returns the model's statistics.
func (e *Engine) Statistics() enginemodel.Statistics {
	var statistics enginemodel.Statistics
	e.queue.Wait(func() { statistics = e.model.Statistics() })
	return statistics
}

// Runs returns the attempts that the engine accepted, across all restarts.
func (e *Engine) Runs() []enginemodel.AttemptRun { return e.runs.list() }

// Answer returns the tokens of the answer to a prompt. Every engine gives the
// same, so that a stream can continue elsewhere.
func Answer(messages []structs.Message, tokens int64) []string {
	var hasher prefix.Hasher
	for _, message := range messages {
		hasher.Write(message, nil)
	}
	answer := enginemodel.NewAnswer(hasher)
	words := make([]string, tokens)
	for i := range words {
		from := int64(i) * prefix.BytesPerToken
		words[i] = answer.Text(from, from+prefix.BytesPerToken)
	}
	return words
}

// plainAttempt returns an attempt ID for a request of a client without the
// extension.
func (e *Engine) plainAttempt() structs.AttemptID {
	return structs.AttemptID("plain-" + strconv.FormatUint(e.plainAttempts.Add(1), 10))
}
