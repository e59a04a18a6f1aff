package relay

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/poison"
	"github.com/mintpulley/mintpulley/internal/residency"
	"github.com/mintpulley/mintpulley/internal/route"
)

// callHandler handles one call.
type callHandler struct {
	relay *Relay
	call  *Call
	// turnID is the ID of the call's turn, scoped by tenant.
	turnID    string
	responder *endingRecorder
	service   string
	logger    zerolog.Logger
	// regions are the regions that the call is restricted to.
	regions residency.Regions

	// excluded are the instances that were offered the call in this round.
	excluded []string
	// ranOn lists the instances that may have run the call, each once, the latest last.
	// boundTo is the only one that may run it again, "" for any: see bindToLastInstance.
	ranOn   []string
	boundTo string
	// origin is what a stream may come from.
	origin streamOrigin
	// notReached are the instances that did not accept a connection for the call.
	notReached []string
	// preferred is the instance that has the call's session in its cache, "" if unknown.
	preferred string
	// runs counts the runs that may have happened.
	runs int
	// offers counts all offers, and latest is the last of them.
	offers int
	latest latestOffer
	// connections lists the connections on which the call was sent.
	connections httpconn.UsedConnections
	// countedAt is the instance whose load includes the call, nil for none.
	countedAt *instance.Instance
	// stream is the state of an answer that is a stream, nil before.
	stream *streamState
	// tracker is the call's use of the guard against contents that end back ends, nil before the
	// first send.
	tracker *poison.Tracker
	// refusals counts the offers that were turned down, rounds the rounds in which all
	// instances did, and offeredBefore holds the service's offer counts before the call's
	// first offer.
	refusals      int
	rounds        int
	offeredBefore offerCounts
	// sentBytes is the size of the call's body.
	sentBytes int
	// heldUp is what held the call up last, and forecast the decision on it.
	heldUp   admission.HeldUpRequest
	forecast admission.Decision
	quota    quotaState
}

// latestOffer is a call's last offer to an instance.
type latestOffer struct {
	beganAt time.Time
	// heardAt is when the instance last sent something; initially beganAt.
	heardAt time.Time
	context context.Context
	// pending is the offer as tracked by the monitor, nil once the instance sends nothing
	// more.
	pending *pendingOffer
}

// mayHaveRun reports whether some instance may have run the call.
func (c *callHandler) mayHaveRun() bool { return c.runs > 0 }

// offer sends the call to one instance after another until one accepts it. A nil answer
// means that the call was ended.
func (c *callHandler) offer(ctx context.Context, outgoing OutgoingCall) (*Answer, instance.Instance) {
	c.sentBytes = max(len(outgoing.Body), len(c.call.Body))
	if c.offers == 0 {
		c.offeredBefore = c.relay.offered.get(c.service)
	}
	for {
		if !c.admitContent(ctx, outgoing.Body) {
			return nil, instance.Instance{}
		}
		if !c.hasTime() {
			c.refuseEnded(ctx)
			return nil, instance.Instance{}
		}
		if c.refuseBeforeShutdown() {
			return nil, instance.Instance{}
		}
		target, found := c.pickInstance()
		if !found {
			if !c.retryWithoutInstance(ctx) {
				return nil, instance.Instance{}
			}
			continue
		}
		answer, err := c.send(ctx, target, outgoing)
		isTaken := err == nil && answer.NotRun == ProofNone
		c.relay.offered.add(c.service, isTaken)
		if isTaken {
			c.noteRun(target)
			c.noteTaken()
			return answer, target
		}
		if !c.handleFailedOffer(ctx, target, answer, err) {
			return nil, instance.Instance{}
		}
	}
}

// retryWithoutInstance handles that no instance may get the call now, and reports whether to look for
// one again. If not, the call was ended.
func (c *callHandler) retryWithoutInstance(ctx context.Context) bool {
	if c.liftVersion() {
		return true
	}
	if c.refuseIfOriginGone() {
		return false
	}
	if c.boundTo != "" && len(c.excluded) == 0 && c.relay.Pool.Count(c.query()).TemporarilyFiltered == 0 {
		c.refuseBoundCall()
		return false
	}
	return c.nextRound(ctx)
}

func (c *callHandler) hasTime() bool {
	return c.call.Deadline.IsZero() || time.Until(c.call.Deadline) > minTimeLeft
}

func (c *callHandler) pickInstance() (instance.Instance, bool) {
	if len(c.excluded) >= maxOffersPerRound {
		return instance.Instance{}, false
	}
	if c.boundTo != "" && c.relay.Pool.IsSuperseded(c.boundTo) {
		c.boundTo = "" // it has restarted, so its earlier runs are over
	}
	target, found := c.takeInstance()
	if found {
		c.countedAt = &target
	}
	return target, found
}

// query returns the call's requirements for an instance.
func (c *callHandler) query() instance.Query {
	return instance.Query{
		Service:     c.service,
		Preferred:   c.preferred,
		AffinityKey: c.affinityKey(),
		Only:        c.boundTo,
		Version:     c.origin.version,
		Regions:     c.regions,
		Excluded:    c.excluded,
		Bytes:       c.sentBytes,
	}
}

func (c *callHandler) affinityKey() string {
	if !c.call.Route.Sticky {
		return ""
	}
	return c.call.Object
}

func (c *callHandler) send(ctx context.Context, target instance.Instance, outgoing OutgoingCall) (*Answer, error) {
	c.offers++
	c.observeBeliefAges()
	now := time.Now()
	c.latest = latestOffer{beganAt: now, heardAt: now}
	outgoing.ConnectionLimit = c.relay.connectionLimit(c.service)
	outgoing.NewConnection = c.tracker.IsSuspect()
	outgoing.Connections = &c.connections
	outgoing.ConnectTimeout = c.relay.monitor.connectTimeout(target)
	c.latest.pending = &pendingOffer{target: target, kind: c.call.Route.Name, alternative: c.alternativeTo(target)}
	c.latest.context = c.relay.monitor.startOffer(ctx, c.latest.pending)
	answer, err := c.relay.Driver.Send(c.latest.context, target, &outgoing)
	if err == nil {
		c.relay.monitor.noteProgress(c.latest.pending, time.Now())
	}
	return answer, err
}

// observeBeliefAges records how old the list of instances and the routes are that the offer
// is based on.
func (c *callHandler) observeBeliefAges() {
	routes := time.Duration(0)
	if c.relay.RoutesAge != nil {
		routes = c.relay.RoutesAge()
	}
	c.relay.Metrics.offered(c.relay.Pool.ListAge(), routes)
}

// release ends the latest offer and reports its outcome to the pool.
func (c *callHandler) release(target instance.Instance, outcome instance.Outcome) {
	c.stopTracking()
	c.countedAt = nil
	c.relay.Pool.Release(target.ID, outcome)
	if outcome == instance.OutcomeAnswered {
		c.tracker.Answered()
		c.relay.Pool.RecordServiceTime(c.service, time.Since(c.latest.beganAt))
	}
}

// stopTracking removes the latest offer from the monitor.
func (c *callHandler) stopTracking() {
	if c.latest.pending != nil {
		c.relay.monitor.endOffer(c.latest.pending)
		c.latest.pending = nil
	}
}

// releaseLeftovers releases what the call has reserved, and what a panic left open:
// otherwise the instance would count as loaded, and the turn's tokens as reserved, forever.
func (c *callHandler) releaseLeftovers() {
	c.tracker.Close()
	if c.countedAt != nil {
		c.release(*c.countedAt, instance.OutcomeCanceled)
	}
	if c.stream != nil && c.stream.turn != nil {
		_ = c.settle(context.Background(), c.stream, false) // settles in the background, as the turn is not kept
	}
}

// releaseFailed ends the latest offer after an error. If the instance's zone is cut off,
// the error does not count against the instance.
func (c *callHandler) releaseFailed(target instance.Instance) {
	outcome := instance.OutcomeFailed
	if c.relay.monitor.noteFailed(target, time.Now()) {
		outcome = instance.OutcomeCanceled
	}
	defer c.release(target, outcome)
	if !isGivenUp(c.latest.context) {
		return
	}
	zoneIsCut := c.relay.monitor.isCutOff(target.Zone)
	c.relay.Metrics.gaveUp(target.Zone, zoneIsCut)
	c.logger.Info().Str("instance", target.ID).Str("zone", target.Zone).Bool("zone_cut_off", zoneIsCut).
		Dur("silent", time.Since(c.latest.heardAt)).Dur("held", time.Since(c.call.Received)).Msg("Offer given up. Its back end cannot be reached.")
}

// configuredService returns a service of the current routes, nil if they do not contain it.
func (r *Relay) configuredService(name string) *route.Service {
	table := r.Table()
	if table == nil {
		return nil
	}
	return table.Services[name]
}

// connectionLimit returns this daemon's share of an instance's connections; 0 means no
// bound.
func (r *Relay) connectionLimit(name string) int {
	service := r.configuredService(name)
	if service == nil || service.MaxConnections == 0 {
		return 0
	}
	return max(service.MaxConnections/max(r.Daemons(), 1), 1)
}

// noteTaken notes that an instance of the call's service accepted a request.
func (c *callHandler) noteTaken() {
	if lasted, ended := c.relay.full.noteNotFull(c.service, c.latest.beganAt); ended {
		c.relay.Admission.ObserveDuration(admission.ServiceFull, lasted)
	}
}

// nextRound waits before the call is offered to all instances again. It returns false if
// the call was refused.
func (c *callHandler) nextRound(ctx context.Context) bool {
	if !c.mayHaveRun() && c.refuseCutOff() {
		return false
	}
	now := time.Now()
	counts := c.relay.Pool.Count(c.query())
	if c.refuseUnplaceable(counts, now) {
		return false
	}
	if counts.Admitted+counts.TemporarilyFiltered == 0 && c.offers == 0 && !c.relay.Pool.MayBeIncomplete() {
		c.decide(admission.NoInstances, now, now)
		c.refuse(Refusal{Reason: ReasonNoInstance, RetryAfter: c.retryAfter(), Detail: "No back end of this service is known."})
		return false
	}
	if decision := c.decide(admission.ServiceFull, c.relay.full.noteFull(c.service, now), now); !decision.ShouldWait(now) {
		c.refuse(Refusal{Reason: ReasonFull, RetryAfter: c.retryAfter(), Detail: "All back ends of this service are full."})
		return false
	}
	c.excluded = c.excluded[:0]
	pause := min(minRoundPause<<min(c.rounds, 2), maxRoundPause)
	c.rounds++
	select {
	case <-ctx.Done():
		c.refuseEnded(ctx)
		return false
	case <-time.After(pause):
		return true
	}
}
