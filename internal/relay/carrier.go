package relay

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/residency"
	"github.com/mintpulley/mintpulley/internal/route"
)

// carrier carries one call.
type carrier struct {
	relay *Relay
	call  *Call
	// turnID names the call's turn apart from those of other tenants.
	turnID    string
	responder *endingRecorder
	service   string
	logger    zerolog.Logger
	// regions are those that the call is bound to.
	regions residency.Regions

	// excluded instances were offered the call in this round.
	excluded []string
	// ranOn lists the instances that may have run the call, each once, the latest
	// last, and only is the one that may run it again: see bind.
	ranOn []string
	only  string
	// preferred is the instance that knows the call's object or session.
	preferred string
	// runs counts instances that may have run the call.
	runs int
	// offers counts all tries, and latest is the last of them.
	offers int
	latest latestOffer
	// taken is the instance that the call is counted at, nil for none.
	taken *instance.Instance
	// stream is what is known of the call's answer if that is a stream, nil before.
	stream *streamState
	// refusals counts the offers that were turned down, rounds how often all instances
	// did, and offeredBefore the offers to the service before the call's first.
	refusals      int
	rounds        int
	offeredBefore offerCounts
	// bytes are what is sent along with the call.
	bytes int
	// heldUp is what held the call up last, and forecast what was expected of it.
	heldUp   admission.HeldUpRequest
	forecast admission.Decision
	quota    quotaState
}

// latestOffer is a call's last offer to an instance.
type latestOffer struct {
	beganAt time.Time
	// heardAt is when the instance last sent something, or beganAt.
	heardAt time.Time
	context context.Context
	// watched is the offer at the monitor, nil once its instance sends nothing more.
	watched *pendingOffer
}

// mayHaveRun tells whether some instance may have run the call.
func (c *carrier) mayHaveRun() bool { return c.runs > 0 }

// offer sends the call to one instance after another until one takes it. A nil
// answer means that the call is over: refused, or its caller left.
func (c *carrier) offer(ctx context.Context, outgoing OutgoingCall) (*Answer, instance.Instance) {
	c.bytes = max(len(outgoing.Body), len(c.call.Body))
	if c.offers == 0 {
		c.offeredBefore = c.relay.offered.of(c.service)
	}
	for {
		if !c.hasTime() {
			c.refuseLate(ctx)
			return nil, instance.Instance{}
		}
		target, found := c.take()
		if !found && c.only != "" && len(c.excluded) == 0 && c.relay.Pool.Count(c.query()).TemporarilyFiltered == 0 {
			c.refuseBound()
			return nil, instance.Instance{}
		}
		if !found {
			if !c.nextRound(ctx) {
				return nil, instance.Instance{}
			}
			continue
		}
		answer, err := c.send(ctx, target, outgoing)
		c.relay.offered.note(c.service, err == nil && !answer.NotRun)
		if err == nil && !answer.NotRun && !answer.Misdirected {
			c.noteRun(target)
			c.noteTaken()
			return answer, target
		}
		if !c.goOn(ctx, target, answer, err) {
			return nil, instance.Instance{}
		}
	}
}

func (c *carrier) hasTime() bool {
	return c.call.Deadline.IsZero() || time.Until(c.call.Deadline) > leastTime
}

func (c *carrier) take() (instance.Instance, bool) {
	if len(c.excluded) >= roundOffers {
		return instance.Instance{}, false
	}
	if c.only != "" && c.relay.Pool.IsSuperseded(c.only) {
		c.only = "" // it has started again, so it runs nothing of before
	}
	target, found := c.relay.Pool.Take(c.query())
	if found {
		c.taken = &target
	}
	return target, found
}

// query is what the call needs of an instance.
func (c *carrier) query() instance.Query {
	return instance.Query{
		Service:     c.service,
		Preferred:   c.preferred,
		AffinityKey: c.object(),
		Only:        c.only,
		Regions:     c.regions,
		Excluded:    c.excluded,
		Bytes:       c.bytes,
	}
}

func (c *carrier) object() string {
	if !c.call.Route.Sticky {
		return ""
	}
	return c.call.Object
}

func (c *carrier) send(ctx context.Context, target instance.Instance, outgoing OutgoingCall) (*Answer, error) {
	c.offers++
	c.noteBeliefs()
	now := time.Now()
	c.latest = latestOffer{beganAt: now, heardAt: now}
	outgoing.ConnectionLimit = c.relay.connectionLimit(c.service)
	outgoing.ConnectTimeout = c.relay.monitor.connectTimeout(target)
	c.latest.watched = &pendingOffer{target: target, kind: c.call.Route.Name, alternative: c.alternativeTo(target)}
	c.latest.context = c.relay.monitor.startOffer(ctx, c.latest.watched)
	answer, err := c.relay.Driver.Send(c.latest.context, target, &outgoing)
	if err == nil {
		c.relay.monitor.noteProgress(c.latest.watched, time.Now())
	}
	return answer, err
}

// noteBeliefs notes how old what the offer rests on is.
func (c *carrier) noteBeliefs() {
	routes := time.Duration(0)
	if c.relay.RoutesAge != nil {
		routes = c.relay.RoutesAge()
	}
	c.relay.Metrics.offered(c.relay.Pool.ListAge(), routes)
}

// release ends the latest offer with an outcome.
func (c *carrier) release(target instance.Instance, outcome instance.Outcome) {
	c.endWatch()
	c.taken = nil
	c.relay.Pool.Release(target.ID, outcome)
	if outcome == instance.OutcomeAnswered {
		c.relay.Pool.RecordServiceTime(c.service, time.Since(c.latest.beganAt))
	}
}

// endWatch ends the watch of the latest offer.
func (c *carrier) endWatch() {
	if c.latest.watched != nil {
		c.relay.monitor.endOffer(c.latest.watched)
		c.latest.watched = nil
	}
}

// endLeftOpen ends what a panic left open: else the instance would count as loaded, and the
// turn's reservation as spent, for good.
func (c *carrier) endLeftOpen() {
	if c.taken != nil {
		c.release(*c.taken, instance.OutcomeCanceled)
	}
	if c.stream != nil && c.stream.turn != nil {
		_ = c.settle(context.Background(), c.stream, false) // in the background, as nobody goes on from it
	}
}

// fail ends the latest offer after an error. If the zone is cut off, the error does not
// count against the instance.
func (c *carrier) fail(target instance.Instance) {
	outcome := instance.OutcomeFailed
	if c.relay.monitor.noteFailed(target, time.Now()) {
		outcome = instance.OutcomeCanceled
	}
	defer c.release(target, outcome)
	if !isGivenUp(c.latest.context) {
		return
	}
	zoneIsCut := c.relay.monitor.isCut(target.Zone)
	c.relay.Metrics.gaveUp(target.Zone, zoneIsCut)
	c.logger.Info().Str("instance", target.ID).Str("zone", target.Zone).Bool("zone_cut_off", zoneIsCut).
		Dur("silent", time.Since(c.latest.heardAt)).Dur("held", time.Since(c.call.Received)).Msg("Offer given up. Nobody is reached there.")
}

// serviceInForce is a service as the routes in force have it, nil if they do
// not.
func (r *Relay) serviceInForce(name string) *route.Service {
	table := r.Table()
	if table == nil {
		return nil
	}
	return table.Services[name]
}

// connectionLimit is this daemon's share of an instance's connections; 0 for no bound.
func (r *Relay) connectionLimit(name string) int {
	service := r.serviceInForce(name)
	if service == nil || service.MaxConnections == 0 {
		return 0
	}
	return max(service.MaxConnections/max(r.Daemons(), 1), 1)
}

// noteTaken takes note that the call's service takes requests.
func (c *carrier) noteTaken() {
	if lasted, ended := c.relay.full.end(c.service, c.latest.beganAt); ended {
		c.relay.Admission.ObserveDuration(admission.ServiceFull, lasted)
	}
}

// nextRound waits before all instances are offered the call again. False
// means that the call was refused.
func (c *carrier) nextRound(ctx context.Context) bool {
	if !c.mayHaveRun() && c.refuseCutOff() {
		return false
	}
	now := time.Now()
	census := c.relay.Pool.Count(c.query())
	if c.refuseUnplaceable(census, now) {
		return false
	}
	if census.Admitted+census.TemporarilyFiltered == 0 && c.offers == 0 && !c.relay.Pool.MayBeIncomplete() {
		c.decide(admission.NoInstances, now, now)
		c.refuse(Refusal{Reason: ReasonNoInstance, RetryAfter: c.returnAfter(), Detail: "No back end of this service is known."})
		return false
	}
	if decision := c.decide(admission.ServiceFull, c.relay.full.note(c.service, now), now); !decision.ShouldWait(now) {
		c.refuse(Refusal{Reason: ReasonFull, RetryAfter: c.returnAfter(), Detail: "All back ends of this service are full."})
		return false
	}
	c.excluded = c.excluded[:0]
	pause := min(offerPause<<min(c.rounds, 2), longestOfferPause)
	c.rounds++
	select {
	case <-ctx.Done():
		c.refuseLate(ctx)
		return false
	case <-time.After(pause):
		return true
	}
}
