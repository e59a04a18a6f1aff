package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/ledger"
	"github.com/mintpulley/mintpulley/internal/residency"
	"github.com/mintpulley/mintpulley/internal/route"
	"github.com/mintpulley/mintpulley/internal/tenant"
	"github.com/mintpulley/mintpulley/internal/zone"
)

const (
	// offerPause separates the first rounds of offers to the instances of a service.
	// It doubles up to longestOfferPause, some requests' time: a place that came free
	// is found as soon as that by one of the daemons that look for one.
	offerPause        = 15 * time.Millisecond
	longestOfferPause = 60 * time.Millisecond
	// stoppingPause is after when a caller should come back to whom a daemon that
	// stops gave no answer: others serve already, it only has to reach one.
	stoppingPause = 50 * time.Millisecond
	// silentAfter is how long an instance must have sent nothing when a request
	// is given up for that to speak against it.
	silentAfter = 900 * time.Millisecond
	// leastTime is the time below which a call is not sent any more.
	leastTime = 5 * time.Millisecond
	// streamRuns bounds how often one stream is taken up.
	streamRuns = 4
	// bodyLimit is the longest answer that is read whole, in bytes.
	bodyLimit = 16 << 20
	// eventLimit is the longest event of a stream, in bytes.
	eventLimit = 4 << 20
	// beginPause separates tries to reserve a turn.
	beginPause = 120 * time.Millisecond
	// settleTimeout bounds how long a finished turn is tried to be settled.
	settleTimeout = 20 * time.Second
)

// ErrStopBound is the cause of a context that ends because the daemon's stop is
// at its bound: the caller is still there.
var ErrShutdownDeadline = eris.New("relay: the daemon's stop is at its bound")

// Ledger keeps programs' budgets and turns.
type Ledger interface {
	// Begin reserves a turn's tokens and returns the history before it. Errors
	// wrap ledger.ErrBudgetSpent, ledger.ErrUnknownTurn or
	// ledger.ErrUnavailable.
	// After ErrUnavailable the same turn may be tried again, or abandoned.
	Begin(ctx context.Context, turn ledger.Turn) (ledger.Grant, error)
	// Abandon ends a turn of which it is not known whether it was reserved. It
	// returns at once.
	Abandon(turn ledger.Turn)
	// End settles a turn. It returns once the outcome is durable.
	End(ctx context.Context, outcome ledger.Outcome) error
}

// Options give a Relay what it works with.
type Options struct {
	Pool   *instance.Pool
	Driver Driver
	Ledger Ledger
	// Quota admits requests of tenants that have a limit; nil where none has.
	Quota Quota
	// Admission decides how long requests wait; nil for one of its own.
	Admission *admission.Controller
	// Table returns the routes in force, nil while none are known.
	Table func() *route.Table
	// RoutesAge returns since when it was not confirmed that the routes in force are the
	// newest; nil if that is not known.
	RoutesAge func() time.Duration
	// Daemons returns how many daemons share the instances' connections.
	Daemons func() int
	// Evacuations are which zones the operators evacuated; nil if none ever is.
	Evacuations *zone.Evacuations
	// Zones is which zones this daemon is cut off from; nil in a fleet of one zone.
	Zones *zone.Reachability
	// StoppingSince tells whether the daemon stops, and since when; nil if it never does.
	StoppingSince func() (at time.Time, stopping bool)
	// RerouteTime is how long it takes until new connections are routed to other daemons
	// after this one found itself isolated.
	RerouteTime time.Duration
	// RecordBytes bounds the text of turns that the ledger is to put on record, and once
	// more that of turns which are ready and wait for room there; 0 sets no bound. From
	// half of it on no further turns are begun.
	MaxPendingRecordBytes int64
	Logger                zerolog.Logger
	Metrics               *Metrics
}

// Relay carries calls. It is safe for concurrent use.
type Relay struct {
	Options
	sessions *sessions
	splits   splits
	// full are the services whose instances refuse all requests, and serving is
	// what serving takes on each route.
	full    fullServices
	serving servingTimes
	// offered counts the offers to each service.
	offered offerTally
	// ordinary is for lines of requests that went the ordinary way.
	ordinary zerolog.Logger
	// frontRefusals bounds the lines of requests that the front refused, and closings those
	// of requests that ended without an answer or a refusal.
	frontRefusals, closings zerolog.Sampler
	// recording is the room for the text of turns that wait for their record.
	recording recordRoom
	// draining: calls that come now are refused.
	draining atomic.Bool
	monitor  *offerMonitor
	// settling counts turns whose outcome is not on record yet.
	settling sync.WaitGroup
}

// New returns a relay.
func New(options Options) *Relay {
	if options.Admission == nil {
		options.Admission = &admission.Controller{}
	}
	r := &Relay{
		Options:  options,
		sessions: newSessions(),
	}
	ordinary := newSampler(ordinaryBurst, options.Metrics.lineLeftOut)
	r.ordinary = options.Logger.Sample(ordinary)
	r.frontRefusals = ordinary
	r.closings = newSampler(closingBurst, options.Metrics.lineLeftOut)
	r.monitor = newOfferMonitor(r)
	return r
}

// Serve carries one call to its end. It returns once the responder was ended.
func (r *Relay) Serve(ctx context.Context, call *Call, responder Responder) {
	recorder := r.recorderOf(ctx, call.ID, responder)
	r.EnsureEnding(ctx, call.ID, recorder, func(Responder) { r.carry(ctx, call, recorder) })
}

// carry carries a call whose ending is taken note of.
func (r *Relay) carry(ctx context.Context, call *Call, responder *endingRecorder) {
	if !call.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, call.Deadline)
		defer cancel()
	}
	call.Program = call.Program.scopedTo(call.tenantName())
	c := &carrier{
		relay:     r,
		call:      call,
		turnID:    tenant.Scoped(call.tenantName(), call.ID),
		responder: responder,
		service:   r.splits.choose(call.Route),
		logger:    callLogger(r.Logger, call),
		regions:   residency.AllowedRegions(call.Route.AllowedRegions, call.Tenant.Regions()),
	}
	responder.carriedBy(c)
	defer c.endLeftOpen()
	if r.draining.Load() {
		c.refuse(stopping)
		return
	}
	if c.needsRecord() && c.refuseCutOff() || c.refuseIfUnplaceable() {
		return
	}
	if !c.admitByQuota(ctx) {
		return
	}
	if call.Route.Kind == route.KindStream {
		c.carryStream(ctx)
		return
	}
	c.carryPlain(ctx)
}

// Drain makes the relay refuse calls that come from now on. Those under way go on.
func (r *Relay) Drain() { r.draining.Store(true) }

// Wait waits until all turns are settled, or ctx ends.
func (r *Relay) Wait(ctx context.Context) { clock.WaitFor(ctx, &r.settling) }
