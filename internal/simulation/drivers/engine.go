package drivers

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/enginemodel"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/simulation/network"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// EngineRun is an engine's own record of one accepted attempt.
type EngineRun struct {
	Engine  structs.EngineID
	Request framework.EngineRequest
	// From is the daemon that sent the attempt first.
	From      network.Place
	StartedAt time.Time
	// EndedAt is zero while the attempt runs.
	EndedAt time.Time
	// Kind is how the attempt ended; EndLost if the engine crashed.
	Kind framework.EndKind
	// Text is the answer text so far, including the given prefix.
	Text  string
	Usage structs.Usage
}

// TokensUsed returns the computed tokens. If the engine crashed before it
// reported usage, they are estimated from the prompt and the text produced.
func (r *EngineRun) TokensUsed() structs.Usage {
	if r.Usage != (structs.Usage{}) {
		return r.Usage
	}
	_, prompt := prefix.Blocks(r.Request.Messages)
	fresh := len(r.Text) - len(r.Request.AnswerPrefix)
	return structs.Usage{PromptTokens: prompt, CompletionTokens: int64(max(fresh, 0) / prefix.BytesPerToken)}
}

// Engine simulates one model engine on the network.
type Engine struct {
	Place network.Place
	// Model is the engine model that computes the answers.
	Model *enginemodel.Engine
	// Runs lists the attempts received, in order, across restarts.
	Runs []*EngineRun
	// OnAttempt is called for each new attempt; accepted is false if it was
	// refused.
	OnAttempt func(request framework.EngineRequest, accepted bool, from network.Place)
	// OnOrder is called for each order that arrives: loading is set when the
	// engine was loading weights, err is its answer.
	OnOrder func(order structs.Order, loading bool, err error)
	// OnTransfer is called for each cache transfer to the engine when it
	// begins.
	OnTransfer func(transfer framework.Transfer, tokens int64)

	network  *network.Network
	reader   *enginemodel.PromptReader
	restarts int
	attempts map[structs.AttemptID]*EngineRun
}

// NewEngine adds an engine to the network.
func NewEngine(n *network.Network, place network.Place, model *enginemodel.Engine, reader *enginemodel.PromptReader) *Engine {
	return &Engine{
		Place:    place,
		Model:    model,
		network:  n,
		reader:   reader,
		attempts: map[structs.AttemptID]*EngineRun{},
	}
}

// ID returns the engine's identifier.
func (e *Engine) ID() structs.EngineID { return structs.EngineID(e.Place.Address) }

// Crash loses everything that the engine holds in memory.
func (e *Engine) Crash() {
	e.restarts++
	for _, run := range e.Runs {
		if run.EndedAt.IsZero() {
			run.EndedAt = e.network.Clock().Now()
			run.Kind = framework.EndLost
		}
	}
	e.attempts = map[structs.AttemptID]*EngineRun{}
	e.Model.Crash()
}

// Restart starts a crashed engine with empty memory.
func (e *Engine) Restart() { e.Model.Boot() }

func (e *Engine) handleOrder(order structs.Order) error {
	loading := e.Model.Loading()
	err := e.Model.Order(order)
	if e.OnOrder != nil {
		e.OnOrder(order, loading, err)
	}
	return err
}

// startOrJoin starts an attempt, or joins it if the engine knows it, and
// streams it to observer.
func (e *Engine) startOrJoin(request framework.EngineRequest, from network.Place, observer framework.EngineObserver) framework.Stream {
	if e.attempts[request.Attempt] == nil && !request.ResumeOnly {
		e.startRecorded(request, from)
	}
	return e.Model.Start(e.reader.Read(request), observer)
}

// startRecorded starts a new attempt with a recorder as its first observer.
func (e *Engine) startRecorded(request framework.EngineRequest, from network.Place) {
	run := &EngineRun{Engine: e.ID(), Request: request, From: from, StartedAt: e.network.Clock().Now(), Text: request.AnswerPrefix}
	recorder := &recorder{engine: e, run: run, restarts: e.restarts}
	e.attempts[request.Attempt] = run
	e.Runs = append(e.Runs, run)
	e.Model.Start(e.reader.Read(request), recorder)
	if e.OnAttempt != nil {
		e.OnAttempt(request, run.Kind != framework.EndRejected, from)
	}
}

// recorder writes the progress of an attempt to its EngineRun.
type recorder struct {
	engine   *Engine
	run      *EngineRun
	restarts int
}

// Chunks implements framework.EngineObserver.
func (r *recorder) Chunks(chunks []structs.Chunk) {
	for _, chunk := range chunks {
		end := chunk.Offset + int64(len(chunk.Text))
		if have := int64(len(r.run.Text)); r.restarts == r.engine.restarts && chunk.Offset <= have && end > have {
			r.run.Text += chunk.Text[have-chunk.Offset:]
		}
	}
}

// End implements framework.EngineObserver.
func (r *recorder) End(end framework.AttemptEnd) {
	if r.restarts != r.engine.restarts {
		return
	}
	r.run.EndedAt = r.engine.network.Clock().Now()
	r.run.Kind = end.Kind
	r.run.Usage = end.Usage
	if end.Kind == framework.EndRejected {
		delete(r.engine.attempts, r.run.Request.Attempt)
	}
}

// Engines holds the engines of a fleet.
type Engines struct {
	// BeforeSend is called in the calling process just before an attempt is
	// sent; nil is allowed.
	BeforeSend func(from network.Place, request framework.EngineRequest)

	members map[structs.EngineID]*Engine
}

// Add adds an engine.
func (e *Engines) Add(engine *Engine) {
	if e.members == nil {
		e.members = map[structs.EngineID]*Engine{}
	}
	e.members[engine.ID()] = engine
}

// Client returns a driver that calls the engines from one process.
func (e *Engines) Client(c network.Client) framework.EngineDriver {
	return &engineClient{engines: e, client: c}
}

type engineClient struct {
	engines *Engines
	client  network.Client
}

// callEngine sends a request to an engine and its reply back. The reply is
// dropped if the engine restarts in between.
func callEngine[T any](c *engineClient, id structs.EngineID, handle func(engine *Engine, reply func(T, error)), done func(T, error)) {
	var none T
	engine := c.engines.members[id]
	if engine == nil {
		c.client.Process.AfterFunc(0, func() { done(none, framework.ErrNotSent) })
		return
	}
	serve := func(reply func(T, error)) {
		if engine.Model.Down() {
			reply(none, framework.ErrNotSent)
			return
		}
		restarts := engine.restarts
		handle(engine, func(value T, err error) {
			if restarts == engine.restarts {
				reply(value, err)
			}
		})
	}
	network.Request(c.client, engine.Place, requestTimeout, framework.ErrUnreachable, serve, done)
}

// noValue is the result type of requests that only return an error.
type noValue struct{}

func withoutValue(done func(error)) func(noValue, error) {
	return func(_ noValue, err error) { done(err) }
}

// Cancel implements framework.EngineDriver.
func (c *engineClient) Cancel(engine structs.EngineID, attempt structs.AttemptID, done func(error)) {
	callEngine(c, engine, func(e *Engine, reply func(noValue, error)) {
		e.Model.Cancel(attempt, func() { reply(noValue{}, nil) })
	}, withoutValue(done))
}

// Inspect implements framework.EngineDriver.
func (c *engineClient) Inspect(engine structs.EngineID, attempt structs.AttemptID, epoch structs.Epoch, done func(framework.AttemptStatus, error)) {
	callEngine(c, engine, func(e *Engine, reply func(framework.AttemptStatus, error)) {
		reply(e.Model.Inspect(attempt, epoch), nil)
	}, done)
}

// Release implements framework.EngineDriver.
func (c *engineClient) Release(hold structs.Hold, done func(error)) {
	callEngine(c, hold.Engine, func(e *Engine, reply func(noValue, error)) {
		e.Model.Release(hold.ID)
		reply(noValue{}, nil)
	}, withoutValue(done))
}

// Holds implements framework.EngineDriver.
func (c *engineClient) Holds(engine structs.EngineID, done func([]structs.Hold, error)) {
	callEngine(c, engine, func(e *Engine, reply func([]structs.Hold, error)) {
		reply(e.Model.Holds(), nil)
	}, done)
}

// Load implements framework.EngineDriver.
func (c *engineClient) Load(engine structs.EngineID, done func(structs.LoadReport, error)) {
	callEngine(c, engine, func(e *Engine, reply func(structs.LoadReport, error)) {
		reply(e.Model.Load(), nil)
	}, done)
}

// CacheEvents implements framework.EngineDriver.
func (c *engineClient) CacheEvents(engine structs.EngineID, after uint64, done func([]structs.CacheEvent, error)) {
	callEngine(c, engine, func(e *Engine, reply func([]structs.CacheEvent, error)) {
		reply(e.Model.CacheEvents(after), nil)
	}, done)
}

// Order implements framework.EngineDriver.
func (c *engineClient) Order(order structs.Order, done func(error)) {
	callEngine(c, order.Engine, func(e *Engine, reply func(noValue, error)) {
		reply(noValue{}, e.handleOrder(order))
	}, withoutValue(done))
}

// Transfer implements framework.EngineDriver.
func (c *engineClient) Transfer(transfer framework.Transfer, done func(int64, error)) {
	callEngine(c, transfer.To, func(receiver *Engine, reply func(int64, error)) {
		sender := c.engines.members[transfer.From]
		if sender == nil || sender.Model.Down() || !c.client.Network.Reachable(sender.Place, receiver.Place) {
			reply(0, framework.ErrRefused)
			return
		}
		export := sender.Model.Export(transfer.Program)
		if receiver.OnTransfer != nil {
			receiver.OnTransfer(transfer, export.Tokens())
		}
		restarts := receiver.restarts
		wait := receiver.Model.ReserveLink(sender.Model, receiver.Model.MissingBlocks(export))
		c.client.Network.Clock().AfterFunc(wait, func() {
			if restarts == receiver.restarts {
				reply(int64(receiver.Model.Import(export, transfer.Program, transfer.Hold))*prefix.BlockTokens, nil)
			}
		})
	}, done)
}
