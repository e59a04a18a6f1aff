package drivers

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/enginemodel"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/simulation/network"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// EngineRun is an engine's own record of one attempt that it took.
type EngineRun struct {
	Engine  structs.EngineID
	Request framework.EngineRequest
	// From is the daemon that sent it first.
	From      network.Place
	StartedAt time.Time
	// EndedAt is zero while it runs.
	EndedAt time.Time
	// Kind is how it ended; EndLost when the engine died.
	Kind framework.EndKind
	// Text is the answer text it holds, the prefix it was given included.
	Text  string
	Usage structs.Usage
}

// TokensUsed returns what the run computed, as far as the engine knows: an
// engine that died is charged the prompt and the text it had made.
func (r *EngineRun) TokensUsed() structs.Usage {
	if r.Usage != (structs.Usage{}) {
		return r.Usage
	}
	_, prompt := prefix.Blocks(r.Request.Messages)
	fresh := len(r.Text) - len(r.Request.AnswerPrefix)
	return structs.Usage{PromptTokens: prompt, CompletionTokens: int64(max(fresh, 0) / prefix.BytesPerToken)}
}

// Engine is one model engine on the network.
type Engine struct {
	Place network.Place
	// Model is what computes in it.
	Model *enginemodel.Engine
	// Runs is what it has taken, in order, over all its restarts.
	Runs []*EngineRun
	// OnAttempt is told of each new attempt; accepted is false for one that was
	// refused.
	OnAttempt func(request framework.EngineRequest, accepted bool, from network.Place)
	// OnOrder is told of each order that arrives: reading is set when the
	// engine was reading weights, err is its answer.
	OnOrder func(order structs.Order, reading bool, err error)
	// OnTransfer is told of each transfer to it that begins.
	OnTransfer func(transfer framework.Transfer, tokens int64)

	network  *network.Network
	reader   *enginemodel.PromptReader
	restarts int
	known    map[structs.AttemptID]*EngineRun
}

// NewEngine puts an engine on the network.
func NewEngine(n *network.Network, place network.Place, model *enginemodel.Engine, reader *enginemodel.PromptReader) *Engine {
	return &Engine{
		Place:   place,
		Model:   model,
		network: n,
		reader:  reader,
		known:   map[structs.AttemptID]*EngineRun{},
	}
}

// ID returns the engine's identifier.
func (e *Engine) ID() structs.EngineID { return structs.EngineID(e.Place.Address) }

// Crash loses everything that the engine had in memory.
func (e *Engine) Crash() {
	e.restarts++
	for _, run := range e.Runs {
		if run.EndedAt.IsZero() {
			run.EndedAt = e.network.Clock().Now()
			run.Kind = framework.EndLost
		}
	}
	e.known = map[structs.AttemptID]*EngineRun{}
	e.Model.Crash()
}

// Restart brings a dead engine back, empty.
func (e *Engine) Restart() { e.Model.Boot() }

func (e *Engine) order(order structs.Order) error {
	reading := e.Model.Loading()
	err := e.Model.Order(order)
	if e.OnOrder != nil {
		e.OnOrder(order, reading, err)
	}
	return err
}

// take starts an attempt or joins the one that is known, and lets observer
// read it.
func (e *Engine) take(request framework.EngineRequest, from network.Place, observer framework.EngineObserver) framework.Stream {
	if e.known[request.Attempt] == nil && !request.ResumeOnly {
		e.record(request, from)
	}
	return e.Model.Start(e.reader.Read(request), observer)
}

// record starts a new attempt with the engine's own observer.
func (e *Engine) record(request framework.EngineRequest, from network.Place) {
	run := &EngineRun{Engine: e.ID(), Request: request, From: from, StartedAt: e.network.Clock().Now(), Text: request.AnswerPrefix}
	recorder := &recorder{engine: e, run: run, restarts: e.restarts}
	e.known[request.Attempt] = run
	e.Runs = append(e.Runs, run)
	e.Model.Start(e.reader.Read(request), recorder)
	if e.OnAttempt != nil {
		e.OnAttempt(request, run.Kind != framework.EndRejected, from)
	}
}

// recorder writes down what an attempt makes.
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
		delete(r.engine.known, r.run.Request.Attempt)
	}
}

// Engines is all engines of a fleet.
type Engines struct {
	// BeforeSend is told in the asking process just before an attempt leaves;
	// nil tells nobody.
	BeforeSend func(from network.Place, request framework.EngineRequest)

	members map[structs.EngineID]*Engine
}

// Add puts an engine among the others.
func (e *Engines) Add(engine *Engine) {
	if e.members == nil {
		e.members = map[structs.EngineID]*Engine{}
	}
	e.members[engine.ID()] = engine
}

// Client returns the engines as one process sees them.
func (e *Engines) Client(c network.Client) framework.EngineDriver {
	return &engineClient{engines: e, client: c}
}

type engineClient struct {
	engines *Engines
	client  network.Client
}

// ask sends a question to an engine and its answer back.
func ask[T any](c *engineClient, id structs.EngineID, question func(engine *Engine, reply func(T, error)), done func(T, error)) {
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
		question(engine, func(value T, err error) {
			if restarts == engine.restarts {
				reply(value, err)
			}
		})
	}
	network.Request(c.client, engine.Place, requestTimeout, framework.ErrUnreachable, serve, done)
}

// nothing is the value of questions that are only answered by an error.
type nothing struct{}

func withoutValue(done func(error)) func(nothing, error) {
	return func(_ nothing, err error) { done(err) }
}

// Cancel implements framework.EngineDriver.
func (c *engineClient) Cancel(engine structs.EngineID, attempt structs.AttemptID, done func(error)) {
	ask(c, engine, func(e *Engine, reply func(nothing, error)) {
		e.Model.Cancel(attempt, func() { reply(nothing{}, nil) })
	}, withoutValue(done))
}

// Inspect implements framework.EngineDriver.
func (c *engineClient) Inspect(engine structs.EngineID, attempt structs.AttemptID, epoch structs.Epoch, done func(framework.AttemptStatus, error)) {
	ask(c, engine, func(e *Engine, reply func(framework.AttemptStatus, error)) {
		reply(e.Model.Inspect(attempt, epoch), nil)
	}, done)
}

// Release implements framework.EngineDriver.
func (c *engineClient) Release(hold structs.Hold, done func(error)) {
	ask(c, hold.Engine, func(e *Engine, reply func(nothing, error)) {
		e.Model.Release(hold.ID)
		reply(nothing{}, nil)
	}, withoutValue(done))
}

// Holds implements framework.EngineDriver.
func (c *engineClient) Holds(engine structs.EngineID, done func([]structs.Hold, error)) {
	ask(c, engine, func(e *Engine, reply func([]structs.Hold, error)) {
		reply(e.Model.Holds(), nil)
	}, done)
}

// Load implements framework.EngineDriver.
func (c *engineClient) Load(engine structs.EngineID, done func(structs.LoadReport, error)) {
	ask(c, engine, func(e *Engine, reply func(structs.LoadReport, error)) {
		reply(e.Model.Load(), nil)
	}, done)
}

// CacheEvents implements framework.EngineDriver.
func (c *engineClient) CacheEvents(engine structs.EngineID, after uint64, done func([]structs.CacheEvent, error)) {
	ask(c, engine, func(e *Engine, reply func([]structs.CacheEvent, error)) {
		reply(e.Model.CacheEvents(after), nil)
	}, done)
}

// Order implements framework.EngineDriver.
func (c *engineClient) Order(order structs.Order, done func(error)) {
	ask(c, order.Engine, func(e *Engine, reply func(nothing, error)) {
		reply(nothing{}, e.order(order))
	}, withoutValue(done))
}

// Transfer implements framework.EngineDriver.
func (c *engineClient) Transfer(transfer framework.Transfer, done func(int64, error)) {
	ask(c, transfer.To, func(receiver *Engine, reply func(int64, error)) {
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
		wait := receiver.Model.ReserveLink(sender.Model, receiver.Model.Missing(export))
		c.client.Network.Clock().AfterFunc(wait, func() {
			if restarts == receiver.restarts {
				reply(int64(receiver.Model.Import(export, transfer.Program, transfer.Hold))*prefix.BlockTokens, nil)
			}
		})
	}, done)
}
