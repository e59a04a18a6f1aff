// Package relay carries callers' requests to back ends. It decides which
// instance gets a request, when it is sent again, taken up elsewhere or
// refused, and never lets a request run more often than its route allows.
//
// The package knows neither the callers' nor the back ends' protocol: a front
// translates requests into Call and Responder, and a Driver carries them on.
package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/route"
	"github.com/mintpulley/mintpulley/internal/tenant"
)

// Call is one request of a caller.
type Call struct {
	ID    string
	Route *route.Route
	// Method, Target, Host, Header and Body go to the back end unchanged.
	// Target is the path with its query, as it came.
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Received is when the request was read whole.
	Received time.Time
	// Deadline is when the caller stops waiting, or the route's timeout ends;
	// the zero time means never.
	Deadline time.Time
	// Patience is how long the caller of a stream hears nothing until it leaves;
	// 0 if that is not known.
	Patience time.Duration
	// Object names what the request concerns, for routes that are sticky.
	Object string
	// ResumeAfter is the last event that the caller has of a broken stream.
	ResumeAfter string
	// MostTokens is the most that an answer generates, 0 if not told.
	MaxTokens int64
	// Tenant is whose request it is, nil where there are no tenants.
	Tenant *tenant.Tenant
	// Program tells of the program that the request is a turn or a tool call
	// of; nil if of none.
	Program *Program
}

// Program is what a request tells of its program.
type Program struct {
	ID string
	// Session names one line of turns within the program.
	Session string
	// BudgetTokens is what the program may generate in all its turns; 0 when
	// the request is no turn.
	BudgetTokens int64
	// Previous is the turn that this one goes on from, "" for none.
	Previous string
	// FinishBy is when the program should be over; zero if not told.
	FinishBy time.Time
}

// scopedTo returns the program under names that no other tenant's program has.
func (p *Program) scopedTo(name string) *Program {
	if p == nil {
		return nil
	}
	scoped := *p
	scoped.ID = tenant.Scoped(name, p.ID)
	scoped.Previous = tenant.Scoped(name, p.Previous)
	return &scoped
}

// tenantName is the name of the call's tenant, "" for none.
func (c *Call) tenantName() string {
	if c.Tenant == nil {
		return ""
	}
	return c.Tenant.Name
}

// priority is the rank of the call's requests: its tenant's, or else its route's.
func (c *Call) priority() int {
	if c.Tenant != nil && c.Tenant.Priority != nil {
		return *c.Tenant.Priority
	}
	return c.Route.Priority
}

// Refusal is a final answer of the system's own.
type Refusal struct {
	Reason Reason
	// RetryAfter is when to come back; 0 if that would not help.
	RetryAfter time.Duration
	// Detail is a short sentence for the caller.
	Detail string
}

// Reason tells why the system ends a request by itself.
type Reason string

// Reasons. Those of the first group promise that the request has not run and
// never will.
const (
	ReasonNoInstance Reason = "no_instance"
	// ReasonNoRegion: no region is allowed for both the route and the tenant;
	// ReasonRegionEmpty: no instance is in one that is.
	ReasonNoRegion    Reason = "no_region"
	ReasonRegionEmpty Reason = "region_empty"
	// ReasonEvacuated: operators evacuated the zones of all instances that could serve.
	ReasonEvacuated         Reason = "evacuated"
	ReasonFull              Reason = "full"
	ReasonLedgerUnavailable Reason = "ledger_unavailable"
	// ReasonStoreCrowded: the store has no room for what the program would leave behind.
	ReasonStoreCrowded Reason = "store_crowded"
	ReasonStarting     Reason = "starting"
	ReasonStopping     Reason = "stopping"
	// ReasonCutOff: this daemon reaches neither the store nor most of the fleet.
	ReasonCutOff      Reason = "cut_off"
	ReasonNotInTime   Reason = "not_in_time"
	ReasonBudgetSpent Reason = "budget_spent"
	ReasonUnknownTurn Reason = "unknown_turn"
	// ReasonTurnedDown: instances turn the request down and take others.
	ReasonTurnedDown Reason = "turned_down"
	// ReasonQuota: the tenant's limit has no room; ReasonQuotaUnknown: its owner can
	// not be asked.
	ReasonQuota        Reason = "quota"
	ReasonQuotaUnknown Reason = "quota_unknown"
	// ReasonUnknownKey: no tenant has the key; ReasonKeysUnconfirmed: it was not
	// confirmed lately which keys there are.
	ReasonUnknownKey      Reason = "unknown_key"
	ReasonKeysUnconfirmed Reason = "keys_unconfirmed"
	ReasonBroken          Reason = "broken"
	ReasonTimeout         Reason = "timeout"
	ReasonNoRoute         Reason = "no_route"
	ReasonTooLarge        Reason = "too_large"
	ReasonHeadTooLarge    Reason = "head_too_large"
	ReasonMalformed       Reason = "malformed"
	ReasonCallerLeft      Reason = "caller_left"
	// ReasonBodyCut: the connection ended within the request's body.
	ReasonBodyCut Reason = "body_cut"
)

// Responder is the caller's side of a call. Exactly one of Answer, Refuse, End
// and Abort ends it.
type Responder interface {
	// Answer gives a back end's whole answer; the error tells that the caller left.
	Answer(status int, header http.Header, body []byte) error
	// Refuse gives an answer of the system's own.
	Refuse(refusal Refusal)
	// Head begins a stream with a back end's status and header.
	Head(status int, header http.Header)
	// Event passes one whole event on; the error tells that the caller left.
	Event(raw []byte) error
	// End ends a stream that is complete.
	End()
	// Abort breaks a stream off, so that it cannot be taken for complete.
	Abort()
}

// Outgoing is a call on its way to one instance.
type OutgoingCall struct {
	*Call
	// Body replaces the call's own.
	Body []byte
	// Deadline is when the instance shall stop work; zero means never.
	Deadline time.Time
	// ResumeAfter is the last event that needs not come again, "" for none.
	ResumeAfter string
	// Urgency orders requests at the instance, 0 first to 9 last.
	Urgency int
	// ConnectionLimit bounds this daemon's connections to the instance.
	ConnectionLimit int
	// ConnectTimeout limits the opening of a connection; 0 for the driver's own limit.
	ConnectTimeout time.Duration
}

// Answer is the head of what an instance answered.
type Answer struct {
	Status int
	Header http.Header
	// Body must be closed.
	Body io.ReadCloser
	// NotRun: the instance promises that it did not run the request.
	NotRun bool
	// StatusMeansNotRun: callers take the status to mean that the request has not run. The
	// instance says so only if NotRun is set, too.
	StatusMeansNotRun bool
	// OtherInstance: another instance has the address by now.
	Misdirected bool
}

// Driver carries calls to instances in their protocol. Errors wrap
// httpconn.ErrNotSent if no byte left this machine; after any other error the
// request may have run.
type Driver interface {
	Send(ctx context.Context, to instance.Instance, outgoing *OutgoingCall) (*Answer, error)
	// Connect opens a connection to an instance, which a later request may use. The
	// error wraps httpconn.ErrNoConnection if there may be no further one.
	Connect(ctx context.Context, to instance.Instance, connections int) error
}
