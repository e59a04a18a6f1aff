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
	"github.com/mintpulley/mintpulley/internal/poison"
	"github.com/mintpulley/mintpulley/internal/residency"
	"github.com/mintpulley/mintpulley/internal/route"
	"github.com/mintpulley/mintpulley/internal/tenant"
	"github.com/mintpulley/mintpulley/internal/zone"
)

const (
	// minRoundPause is the pause after the first round of offers to the instances of a
	// service. It doubles per round up to maxRoundPause, which is short so that a slot that
	// becomes free is found soon.
	minRoundPause = 15 * time.Millisecond
	maxRoundPause = 60 * time.Millisecond
	// shortRetryAfter is the shortest Retry-After: other daemons can serve the request at
	// once, so the caller only needs the time to reach one.
	shortRetryAfter = 50 * time.Millisecond
	// silentThreshold is how long an instance must have sent nothing for a given-up request
	// to count against it.
	silentThreshold = 900 * time.Millisecond
	// minTimeLeft is the time before the deadline below which a call is not sent any more.
	minTimeLeft = 5 * time.Millisecond
	// maxStreamRuns bounds how often a stream is run, including the resumptions.
	maxStreamRuns = 4
	// maxHeldAnswerBytes bounds the part of an answer that is held in memory; a longer answer is passed
	// on while it arrives. maxAnswerBytes bounds the whole answer.
	maxHeldAnswerBytes = 256 << 10
	maxAnswerBytes     = 16 << 20
	// maxEventBytes bounds one event of a stream, and maxOutputBytes the data of all events of a turn,
	// which is stored.
	maxEventBytes  = 256 << 10
	maxOutputBytes = 4 << 20
	// beginRetryPause is the pause between attempts to reserve a turn.
	beginRetryPause = 120 * time.Millisecond
	// settleTimeout bounds the settlement of a finished turn in the background.
	settleTimeout = 20 * time.Second
)

// ErrShutdownDeadline is the cause of a context that is canceled because the daemon reached
// its shutdown deadline while the caller was still connected. Requests without a complete
// answer are refused or aborted then; the kill at the end of the stop time comes later.
var ErrShutdownDeadline = eris.New("relay: shutdown deadline reached")

// Ledger stores the token budgets and the turns of programs.
type Ledger interface {
	// Begin reserves a turn's tokens and returns the history before the turn. Errors wrap
	// ledger.ErrBudgetSpent, ledger.ErrUnknownTurn or ledger.ErrUnavailable. After
	// ErrUnavailable the same turn may be begun again or abandoned.
	Begin(ctx context.Context, turn ledger.Turn) (ledger.Grant, error)
	// Abandon ends a turn that may or may not have been reserved. It does not block.
	Abandon(turn ledger.Turn)
	// End settles a turn. It returns once the outcome is stored durably.
	End(ctx context.Context, outcome ledger.Outcome) error
}

// Options are the dependencies and settings of a Relay.
type Options struct {
	Pool   *instance.Pool
	Driver Driver
	Ledger Ledger
	// IsMemoryTight reports whether no turns are to be begun as the process's memory is tight; nil for never.
	IsMemoryTight func() bool
	// InstanceList tells how current the list of instances is; nil if that is not known. Streams of
	// unknown origin are then not resumed.
	InstanceList InstanceList
	// FormerVersions tells which software versions served before this daemon started; nil if that is not
	// recorded.
	FormerVersions FormerVersions
	// Quota admits the requests of tenants that have a limit; nil if no tenant has one.
	Quota Quota
	// ContentGuard decides which contents may be sent after back ends ended under them; nil for all.
	ContentGuard *poison.Guard
	// Admission decides how long requests wait; nil for a new controller.
	Admission *admission.Controller
	// Table returns the current routes, nil while none are known.
	Table func() *route.Table
	// RoutesAge returns how long ago the routes were last confirmed to be the newest; nil
	// if that is not tracked.
	RoutesAge func() time.Duration
	// Daemons returns the number of daemons that share the connections to instances.
	Daemons func() int
	// Evacuations lists the zones that operators have evacuated; nil if the fleet has no
	// evacuations.
	Evacuations *zone.Evacuations
	// Zones tracks which zones this daemon is cut off from; nil in a fleet of one zone.
	Zones *zone.Reachability
	// StoppingSince reports whether the daemon is shutting down, and since when; nil if it
	// never does.
	StoppingSince func() (at time.Time, stopping bool)
	// RerouteTime is how long it takes to route new connections to other daemons after this
	// one is found isolated.
	RerouteTime time.Duration
	// MaxPendingRecordBytes bounds the text of turns that the ledger is storing, and
	// separately the text of finished turns that wait for their place there; 0 means no
	// bound. Above half of it no new turns are begun.
	MaxPendingRecordBytes int64
	Logger                zerolog.Logger
	Metrics               *Metrics
}

// Relay forwards calls to instances. It is safe for concurrent use.
type Relay struct {
	Options
	sessions *sessions
	splits   splits
	// full holds the services whose instances all refuse requests, and serving the usual
	// serving time of each route.
	full    fullServices
	serving servingTimes
	// offered counts the offers to each service.
	offered offerCounters
	// routine is the sampled logger for requests that were served normally.
	routine zerolog.Logger
	// frontRefusalSampler samples the log lines of requests that the front refused, and
	// brokenOffSampler those of requests that ended without an answer or a refusal.
	frontRefusalSampler, brokenOffSampler zerolog.Sampler
	// pendingRecords bounds the text of turns that wait to be stored.
	pendingRecords recordMemory
	// draining is set once new calls are refused, and stopBy is the shutdown deadline of a planned shutdown,
	// nil before.
	draining atomic.Bool
	stopBy   atomic.Pointer[time.Time]
	monitor  *offerMonitor
	// settling counts the turns whose outcome is not stored yet, and inProgress the calls.
	settling   sync.WaitGroup
	inProgress workCounter
	canceled   *canceledRuns
}

// New returns a relay with the given options.
func New(options Options) *Relay {
	if options.Admission == nil {
		options.Admission = &admission.Controller{}
	}
	r := &Relay{
		Options:  options,
		sessions: newSessions(),
	}
	routine := newSampler(routineLogBurst, options.Metrics.lineDropped)
	r.routine = options.Logger.Sample(routine)
	r.frontRefusalSampler = routine
	r.brokenOffSampler = newSampler(brokenOffLogBurst, options.Metrics.lineDropped)
	r.monitor = newOfferMonitor(r)
	r.canceled = newCanceledRuns(r)
	return r
}

// Serve handles one call. It returns after the responder was ended.
func (r *Relay) Serve(ctx context.Context, call *Call, responder Responder) {
	recorder := r.recorderOf(ctx, call.ID, responder)
	r.inProgress.run(func() {
		r.EnsureEnding(ctx, call.ID, recorder, func(Responder) { r.handle(ctx, call, recorder) })
	})
}

// handle handles a call whose ending is recorded.
func (r *Relay) handle(ctx context.Context, call *Call, responder *endingRecorder) {
	if !call.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, call.Deadline)
		defer cancel()
	}
	call.Program = call.Program.scopedTo(call.tenantName())
	c := &callHandler{
		relay:     r,
		call:      call,
		turnID:    tenant.Scoped(call.tenantName(), call.ID),
		responder: responder,
		service:   r.splits.choose(call.Route),
		logger:    callLogger(r.Logger, call),
		regions:   residency.AllowedRegions(call.Route.AllowedRegions, call.Tenant.Regions()),
	}
	responder.setHandler(c)
	defer c.releaseLeftovers()
	if r.draining.Load() {
		c.refuse(stoppingRefusal)
		return
	}
	if c.needsRecord() && c.refuseCutOff() || c.refuseIfUnplaceable() {
		return
	}
	if !c.admitByQuota(ctx) {
		return
	}
	if call.Route.Kind == route.KindStream {
		c.handleStream(ctx)
		return
	}
	c.handlePlain(ctx)
}

// StopBy announces the shutdown deadline of a planned shutdown. Calls that an instance would probably not answer
// by then are no longer offered to one.
func (r *Relay) StopBy(deadline time.Time) { r.stopBy.Store(&deadline) }

// Drain makes the relay refuse new calls. Calls in progress continue.
func (r *Relay) Drain() { r.draining.Store(true) }

// Wait blocks until all calls have ended, all turns are settled and the runs that were canceled last
// can not end their back ends any more, or until ctx ends.
func (r *Relay) Wait(ctx context.Context) {
	r.inProgress.wait(ctx)
	clock.WaitFor(ctx, &r.settling)
	r.canceled.wait(ctx)
}
