package relay

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/ledger"
	"github.com/mintpulley/mintpulley/internal/route"
	"github.com/mintpulley/mintpulley/internal/tenant"
)

// The events of a stream come from one software version of one service's back ends, its
// origin: what another version would send does not continue it, and back ends do not check
// that. So a stream of which events were passed on is bound to the version that sent the
// first of them.
//
// A caller may resume a stream at any daemon, which learns the origin from the ledger. So
// the version is chosen before the turn is reserved, and recorded with the reservation. If
// no instance of that version accepts the stream, one of another version may, but its events
// are passed on only after the record was changed in the store.

const (
	// defaultOriginTTL is how long the origin of a stream is kept whose caller does not say
	// how long it waits. originTTLMargin is added for callers that do.
	defaultOriginTTL = 30 * time.Second
	originTTLMargin  = 2 * time.Second
	// reviseTimeout bounds the change of a recorded origin.
	reviseTimeout = time.Second
	// minSoleTime is for how long a service must have had a single software version for a
	// stream whose origin is not recorded to be resumed: longer than the answer that began it
	// and its resumption last. soleTimeouts is the same in timeouts of the route.
	minSoleTime  = 10 * time.Second
	soleTimeouts = 2
	// maxListWait bounds the wait for a list of instances that is current. It is longer than
	// two reads of the list are apart.
	maxListWait = 1500 * time.Millisecond
	// streamProgramPrefix precedes the ID of the request that began a stream without a
	// program, in place of a program's ID.
	streamProgramPrefix = "stream:"
)

// errOriginNotKept: the shard's holder does not know origins.
var errOriginNotKept = eris.New("relay: the shard's holder does not keep the origin")

// streamOrigin is what a call's stream may come from.
type streamOrigin struct {
	// recorded is what the ledger was told, nil for nothing.
	recorded *ledger.Origin
	// version is the software version to which the choice of an instance is restricted, nil
	// for none. isBound: no other may go on, as events were passed on.
	version *string
	isBound bool
	// isMixed: the service's instances had several versions when the version was chosen.
	isMixed bool
}

// bind binds a stream to a software version.
func (o *streamOrigin) bind(version string) { o.version, o.isBound = &version, true }

// isResumption reports whether the call goes on with a stream that another request began.
func (c *callHandler) isResumption() bool { return c.call.ResumeAfter != "" }

// chooseOrigin chooses the software version of a new stream that may be resumed.
func (c *callHandler) chooseOrigin() {
	if !c.call.Route.Resumable || c.isResumption() {
		return
	}
	query := c.query()
	query.Preferred = c.sessionInstance(nil)
	preview, isMixed, found := c.relay.Pool.Preview(query)
	if !found {
		return
	}
	c.origin.recorded = &ledger.Origin{Service: c.service, Version: preview.Version}
	c.origin.version = &preview.Version
	c.origin.isMixed = isMixed
}

// liftVersion lets instances of all versions be chosen if the call is not bound to one, and
// reports whether that changes anything.
func (c *callHandler) liftVersion() bool {
	if c.origin.version == nil || c.origin.isBound {
		return false
	}
	c.origin.version = nil
	return true
}

// describeOrigin adds what the ledger is told of the stream's origin, and asked of that of
// the stream which the call resumes, to a turn.
func (c *callHandler) describeOrigin(turn *ledger.Turn) {
	if c.isResumption() {
		turn.Resumes = tenant.Scoped(c.call.tenantName(), c.call.Resumes)
		return
	}
	if c.origin.recorded == nil {
		return
	}
	ttl := c.originTTL()
	turn.Origin, turn.OriginTTLMS, turn.RecordSoon = c.origin.recorded, ttl.Milliseconds(), c.origin.isMixed
	turn.Retention = max(turn.Retention, ttl-ledger.RetentionMargin)
}

// originTTL returns how long the origin of the call's stream is kept: as long as its caller may
// resume it, within the ledger's bound.
func (c *callHandler) originTTL() time.Duration {
	if c.call.ResumableUntil.IsZero() {
		return defaultOriginTTL
	}
	return min(time.Until(c.call.ResumableUntil)+originTTLMargin, ledger.MaxOriginTTL)
}

// streamTurn returns the turn that stands for a stream without a program in the ledger.
func (c *callHandler) streamTurn() ledger.Turn {
	turn := ledger.Turn{ID: c.turnID, Program: streamProgramPrefix + c.turnID}
	c.describeOrigin(&turn)
	if c.isResumption() {
		turn.Program, turn.OriginOnly = streamProgramPrefix+turn.Resumes, true
	}
	return turn
}

// recordOriginLater records the origin of a stream without a program in the background.
func (c *callHandler) recordOriginLater() {
	if c.origin.recorded == nil || len(c.turnID) > ledger.MaxIDBytes {
		return
	}
	turn := c.streamTurn()
	c.relay.settling.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(turn.OriginTTLMS)*time.Millisecond)
		defer cancel()
		if _, err := c.relay.Ledger.Begin(ctx, turn); err != nil {
			c.logger.Warn().Err(err).Msg("Origin of a stream not recorded. It can not be resumed elsewhere.")
		}
	})
}

// findOrigin asks the ledger for the origin of a stream without a program; nil if it is not
// known.
func (c *callHandler) findOrigin(ctx context.Context) (*ledger.Origin, error) {
	if len(c.call.Resumes) == 0 || len(c.call.Resumes) > ledger.MaxIDBytes {
		return nil, nil
	}
	ctx, cancel := context.WithDeadline(ctx, c.beginDeadline(time.Now()))
	defer cancel()
	grant, err := c.tryBegin(ctx, c.streamTurn())
	return grant.Origin, err
}

// bindToOrigin binds a call that resumes a stream to the stream's origin, and reports whether
// it may go on. If not, the call was ended. recorded is the origin according to the ledger,
// nil if that does not know it.
func (c *callHandler) bindToOrigin(ctx context.Context, recorded *ledger.Origin) bool {
	origin := recorded
	if origin == nil {
		origin = c.soleOrigin(ctx)
	}
	if origin == nil {
		c.refuse(originUnknownRefusal)
		return false
	}
	isOnRoute := func(part route.WeightedService) bool { return part.Service == origin.Service }
	if !slices.ContainsFunc(c.call.Route.Services, isOnRoute) {
		c.refuse(originGoneRefusal)
		return false
	}
	c.service = origin.Service
	c.origin.recorded = origin
	c.origin.bind(origin.Version)
	return true
}

// soleOrigin returns the origin of a stream if its service has had a single software version
// since before the stream can have begun; nil otherwise. It is for streams that a former build
// began, whose record is lost, or whose caller does not name the first request. For the last
// it is enough that this daemon has seen no other version since it started, and that none is on
// record from before: nothing will ever tell more.
//
// The list must be current as of the call: the stream may have begun, at another daemon, at an
// instance that joined after this daemon last read the list.
func (c *callHandler) soleOrigin(ctx context.Context) *ledger.Origin {
	if len(c.call.Route.Services) != 1 {
		return nil
	}
	if _, isSole := c.relay.Pool.SoleVersion(c.service); !isSole || !c.awaitCurrentList(ctx) {
		return nil
	}
	sole, isSole := c.relay.Pool.SoleVersion(c.service)
	if !isSole {
		return nil
	}
	from := c.call.Received.Add(-SoleTime(c.call.Route.Timeout))
	isSoleSinceStart := sole.IsSinceStart && c.call.Resumes == "" && !c.relay.mayHaveServedBefore(c.service, sole.Version)
	if sole.Since.After(from) && !isSoleSinceStart {
		return nil
	}
	return &ledger.Origin{Service: c.service, Version: sole.Version}
}

// InstanceList tells how current the list of instances is.
type InstanceList interface {
	// AwaitCurrent has the list read if necessary, and waits until it is known to be current as of a
	// time. It returns false if that is not known by a deadline or when ctx ends.
	AwaitCurrent(ctx context.Context, asOf, deadline time.Time) bool
}

// awaitCurrentList reports whether the list of instances is current as of when the call was received.
// It waits for that, but no longer than the call can wait.
func (c *callHandler) awaitCurrentList(ctx context.Context) bool {
	now := time.Now()
	deadline := now.Add(maxListWait)
	if latest := c.beginDeadline(now); latest.Before(deadline) {
		deadline = latest
	}
	return c.relay.InstanceList != nil && c.relay.InstanceList.AwaitCurrent(ctx, c.call.Received, deadline)
}

// FormerVersions tells which software versions back ends had before this daemon started.
type FormerVersions interface {
	// MayHaveServed reports whether back ends of another software version than the given one may have begun
	// streams of a service shortly before.
	MayHaveServed(service, otherThan string) bool
}

// mayHaveServedBefore is MayHaveServed of the record of former versions, false without one.
func (r *Relay) mayHaveServedBefore(service, otherThan string) bool {
	return r.FormerVersions != nil && r.FormerVersions.MayHaveServed(service, otherThan)
}

// SoleTime returns for how long a service must have had a single software version for a stream of unknown
// origin to be resumed on a route with a timeout, or 0 for none.
func SoleTime(timeout time.Duration) time.Duration { return max(minSoleTime, soleTimeouts*timeout) }

// confirmOrigin makes sure, before the first event of a new stream is passed on, that the
// ledger does not name another software version than that of the instance which sends it.
func (c *callHandler) confirmOrigin(ctx context.Context, target instance.Instance) bool {
	before := c.origin.recorded
	if before == nil || before.Version == target.Version || c.origin.isBound {
		return true
	}
	c.origin.recorded = &ledger.Origin{Service: c.service, Version: target.Version, Revision: before.Revision + 1}
	if err := c.reviseOrigin(ctx); err != nil {
		c.logger.Warn().Err(err).Str("instance", target.ID).Str("version", target.Version).Msg("Origin of a stream not changed in its record.")
		return false
	}
	return true
}

// reviseOrigin replaces the recorded origin. It returns nil once that is durable.
func (c *callHandler) reviseOrigin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, reviseTimeout)
	defer cancel()
	turn := c.streamTurn()
	if c.isTurn() {
		turn = c.ledgerTurn()
	}
	grant, err := c.relay.Ledger.Begin(ctx, turn)
	if err == nil && !grant.OriginKept {
		return errOriginNotKept
	}
	return err
}

// refuseIfOriginGone ends a call that is bound to a software version which no instance has
// any more, and reports whether it did. A list of instances that may be incomplete proves
// nothing. An instance that did not accept a connection is nearly always gone.
func (c *callHandler) refuseIfOriginGone() bool {
	if !c.origin.isBound || c.relay.Pool.MayBeIncomplete() {
		return false
	}
	query := c.query()
	query.Only, query.Excluded = "", c.notReached
	if c.relay.Pool.MayAdmit(query) {
		return false
	}
	c.refuse(originGoneRefusal)
	return true
}
