// Package relay forwards callers' requests to back ends. It chooses the instance for each
// request, and decides when a request is retried, resumed at another instance or refused. A
// request never runs more often than its route allows.
//
// The package is independent of the callers' and the back ends' protocols: a front
// translates requests into Call and Responder, and a Driver sends them to instances.
package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/memorybudget"
	"github.com/mintpulley/mintpulley/internal/route"
	"github.com/mintpulley/mintpulley/internal/tenant"
)

// Call is a caller's request.
type Call struct {
	ID    string
	Route *route.Route
	// Method, Target, Host, Header and Body are forwarded unchanged. Target is the path
	// with the query, as received.
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Memory holds the call's texts, nil for no bound.
	Memory *memorybudget.Holding
	// Model is the model that the request names, "" for none.
	Model string
	// Received is when the request had been read completely.
	Received time.Time
	// Deadline is when the caller stops waiting or the route's timeout ends; the zero time
	// means no deadline.
	Deadline time.Time
	// Patience is how long the caller of a stream waits for the next event before it
	// disconnects; 0 if unknown.
	Patience time.Duration
	// Object identifies what the request concerns, for sticky routes.
	Object string
	// ResumeAfter is the ID of the last event that the caller received of a broken stream.
	ResumeAfter string
	// Resumes is the ID of the request that brought the caller the first event of that
	// stream, "" if the caller does not say.
	Resumes string
	// ResumableUntil is until when the caller may resume the stream of the answer at any
	// daemon; zero if it does not say.
	ResumableUntil time.Time
	// MaxTokens is the most tokens that the answer may have; 0 if not stated.
	MaxTokens int64
	// Tenant is the tenant that sent the request; nil if there are no tenants.
	Tenant *tenant.Tenant
	// Program is the program whose turn or tool call the request is; nil if none.
	Program *Program
}

// Program is the information about its program that a request carries.
type Program struct {
	ID string
	// Session names one conversation within the program.
	Session string
	// BudgetTokens is how many tokens the program may generate in all its turns; 0 if the
	// request is not a turn.
	BudgetTokens int64
	// Previous is the ID of the turn that this one continues, "" for none.
	Previous string
	// FinishBy is when the program should finish; zero if not stated.
	FinishBy time.Time
}

// scopedTo returns the program with IDs that are unique across tenants.
func (p *Program) scopedTo(name string) *Program {
	if p == nil {
		return nil
	}
	scoped := *p
	scoped.ID = tenant.Scoped(name, p.ID)
	scoped.Previous = tenant.Scoped(name, p.Previous)
	return &scoped
}

// tenantName returns the name of the call's tenant, "" for none.
func (c *Call) tenantName() string {
	if c.Tenant == nil {
		return ""
	}
	return c.Tenant.Name
}

// priority returns the tenant's priority if it has one, otherwise the route's.
func (c *Call) priority() int {
	if c.Tenant != nil && c.Tenant.Priority != nil {
		return *c.Tenant.Priority
	}
	return c.Route.Priority
}

// Refusal is an answer that the system itself gives in place of a back end's.
type Refusal struct {
	Reason Reason
	// RetryAfter is when the caller should retry; 0 if a retry would not help.
	RetryAfter time.Duration
	// Detail is a sentence for the caller.
	Detail string
}

// Reason is why the system itself ended a request.
type Reason string

// Reasons of refusals. PromisesNotRun reports which of them guarantee that the request has
// not run.
const (
	ReasonNoInstance Reason = "no_instance"
	// ReasonNoRegion: the route and the tenant have no allowed region in common;
	// ReasonRegionEmpty: no instance is in an allowed region.
	ReasonNoRegion    Reason = "no_region"
	ReasonRegionEmpty Reason = "region_empty"
	// ReasonEvacuated: operators evacuated the zones of all instances that could serve the
	// request.
	ReasonEvacuated         Reason = "evacuated"
	ReasonFull              Reason = "full"
	ReasonLedgerUnavailable Reason = "ledger_unavailable"
	// ReasonMemoryFull: the daemon has no memory for the request's text.
	ReasonMemoryFull Reason = "memory_full"
	// ReasonStoreCrowded: the store has no capacity for a new program.
	ReasonStoreCrowded Reason = "store_crowded"
	ReasonStarting     Reason = "starting"
	ReasonStopping     Reason = "stopping"
	// ReasonCutOff: this daemon is isolated: it reaches neither the store nor most of the
	// fleet.
	ReasonCutOff      Reason = "cut_off"
	ReasonNotInTime   Reason = "not_in_time"
	ReasonBudgetSpent Reason = "budget_spent"
	ReasonUnknownTurn Reason = "unknown_turn"
	// ReasonOriginGone: no instance of the route has the software version that began the
	// stream; ReasonOriginUnknown: that version is not known.
	ReasonOriginGone    Reason = "stream_origin_gone"
	ReasonOriginUnknown Reason = "stream_origin_unknown"
	// ReasonEndsBackEnds: too many back ends ended under the request's content;
	// ReasonEndsUnconfirmed: some did, and the store does not tell how many.
	ReasonEndsBackEnds    Reason = "ends_back_ends"
	ReasonEndsUnconfirmed Reason = "ends_unconfirmed"
	// ReasonTurnedDown: instances refuse this request while they accept others.
	ReasonTurnedDown Reason = "turned_down"
	// ReasonQuota: the tenant's limit is exhausted; ReasonQuotaUnknown: the daemon that
	// keeps the limit cannot be reached.
	ReasonQuota        Reason = "quota"
	ReasonQuotaUnknown Reason = "quota_unknown"
	// ReasonUnknownKey: no tenant has the API key; ReasonKeysUnconfirmed: the list of keys
	// has not been confirmed recently.
	ReasonUnknownKey      Reason = "unknown_key"
	ReasonKeysUnconfirmed Reason = "keys_unconfirmed"
	ReasonBroken          Reason = "broken"
	ReasonTimeout         Reason = "timeout"
	ReasonNoRoute         Reason = "no_route"
	ReasonTooLarge        Reason = "too_large"
	ReasonHeadTooLarge    Reason = "head_too_large"
	ReasonMalformed       Reason = "malformed"
	ReasonCallerLeft      Reason = "caller_left"
	// ReasonBodyCut: the connection ended before the request's body was complete.
	ReasonBodyCut Reason = "body_cut"
)

// Responder is the caller's side of a call. Exactly one call of Answer, Refuse, End or
// Abort ends it.
type Responder interface {
	// Answer sends a back end's complete answer; an error means that the caller
	// disconnected.
	Answer(status int, header http.Header, body []byte) error
	// Refuse sends a refusal by the system itself.
	Refuse(refusal Refusal)
	// Head begins a stream with a back end's status and header.
	Head(status int, header http.Header)
	// Event sends one complete event; an error means that the caller disconnected.
	Event(raw []byte) error
	// End ends a complete stream.
	End()
	// Abort closes the connection so that the caller cannot take a stream for complete.
	Abort()
}

// OutgoingCall is a call as sent to one instance.
type OutgoingCall struct {
	*Call
	// Body is sent in place of the call's own.
	Body []byte
	// Deadline is when the instance should stop working on the call; the zero time means no
	// deadline.
	Deadline time.Time
	// ResumeAfter is the ID of the last event that need not be sent again, "" for none.
	ResumeAfter string
	// Urgency orders requests at the instance, from 0 for the first to 9 for the last.
	Urgency int
	// ConnectionLimit bounds this daemon's connections to the instance; 0 means no bound.
	ConnectionLimit int
	// ConnectTimeout bounds the opening of a connection; 0 for the driver's default.
	ConnectTimeout time.Duration
	// NewConnection: the call must be sent on a connection of its own, which proves that the back
	// end ran when it was opened.
	NewConnection bool
	// ThisRunOnly: the call must not reach a later run of the back end at the same address, as
	// far as runs tell who they are. The answer then has ProofOtherRun.
	ThisRunOnly bool
	// Connections lists the connections on which the call was sent; nil if that is not tracked. The
	// driver adds to it.
	Connections *httpconn.UsedConnections
}

// Driver sends calls to instances in their protocol. Errors of Send wrap
// httpconn.ErrNotSent if no byte left this machine; after any other error the request may
// have run.
type Driver interface {
	Send(ctx context.Context, to instance.Instance, outgoing *OutgoingCall) (*Answer, error)
	// Connect opens a connection to an instance that a later request may use. The error
	// wraps httpconn.ErrNoConnection if the limit of connections is reached.
	Connect(ctx context.Context, to instance.Instance, connections int) error
	// ConnectToLiving is Connect without a limit of connections, to an instance that may be ending.
	// It returns nil only if the instance keeps the connection open.
	ConnectToLiving(ctx context.Context, to instance.Instance) error
	// HoldConnection keeps a connection to an instance open until ctx ends, and returns nil; an error
	// if the instance closes it before, or accepts none.
	HoldConnection(ctx context.Context, to instance.Instance) error
}
