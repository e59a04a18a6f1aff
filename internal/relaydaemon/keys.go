package relaydaemon

import (
	"context"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/relay"
	"github.com/mintpulley/mintpulley/internal/tenant"
)

const (
	// revocationMargin is subtracted from the time within which a revoked key must be refused. At
	// the default of 5 s, it allows for monotonic clocks whose rates differ by up to 2 %.
	revocationMargin = 100 * time.Millisecond
	// maxAgeForUnknownKey is the maximum age of the confirmed keys for a key that is not among them
	// to be refused. Operators expect a new key to be accepted within the time that routes take, at
	// least three seconds. As a read takes routesWatch.Wait, an idle fleet confirms its keys within
	// this time.
	maxAgeForUnknownKey = 2 * time.Second
	// minRefreshInterval is the minimum time between reads on demand, so that callers without a key
	// do not cause a call to the store for each request.
	minRefreshInterval = 100 * time.Millisecond
	// minListRefreshInterval is the same for the list of back ends, which streams of unknown origin wait for.
	minListRefreshInterval = 250 * time.Millisecond
	// assumedPatience is how long a caller without a deadline is assumed to wait.
	assumedPatience = 2 * time.Second
)

// confirmation is the time as of which the routes in force, tenants' keys included, or the list of back
// ends, are known to be the newest. It is never later than the state that the store's answer describes.
type confirmation struct {
	mutex sync.Mutex
	at    time.Time
	// renewed is closed at the next confirmation.
	renewed chan struct{}
	// unreachableSince is when the store stopped answering, zero while it answers.
	unreachableSince time.Time
	// refresh makes the watcher read at once. newerRoutes tells it that newer routes
	// exist; this does not interrupt the read in flight, which will return them, and repeats it
	// only if no answer begins to arrive.
	refresh, newerRoutes *clock.RateLimitedSignal
}

func newConfirmation() *confirmation {
	return &confirmation{
		renewed: make(chan struct{}), refresh: clock.NewRateLimitedSignal(minRefreshInterval), newerRoutes: clock.NewRateLimitedSignal(0),
	}
}

// newListConfirmation returns the confirmation of the list of back ends, which is read less often on demand.
func newListConfirmation() *confirmation {
	c := newConfirmation()
	c.refresh = clock.NewRateLimitedSignal(minListRefreshInterval)
	return c
}

// confirm records a confirmation as of a time. The store's answer must already be in force.
func (c *confirmation) confirm(asOf time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !asOf.After(c.at) {
		return
	}
	c.at = asOf
	close(c.renewed)
	c.renewed = make(chan struct{})
}

// recordConnectivity records that the store is unreachable, or with nil that it answers.
func (c *confirmation) recordConnectivity(err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unreachableSince = time.Time{}
	if err != nil {
		c.unreachableSince = time.Now()
	}
}

// outageStart returns since when the store has not answered; now if it answers, as the keys are
// then confirmed within milliseconds.
func (c *confirmation) outageStart(now time.Time) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.unreachableSince.IsZero() {
		return now
	}
	return c.unreachableSince
}

// last returns the last confirmation, and a channel that is closed at the next one.
func (c *confirmation) last() (at time.Time, renewed <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.at, c.renewed
}

// await waits for a confirmation that is at most maxAge old, until a deadline or until ctx ends,
// and reports whether there is one.
func (c *confirmation) await(ctx context.Context, maxAge time.Duration, until time.Time) bool {
	return c.awaitThat(ctx, func(at, now time.Time) bool { return now.Sub(at) <= maxAge }, until)
}

// AwaitCurrent implements relay.InstanceList. It does not wait while the store does not answer.
func (c *confirmation) AwaitCurrent(ctx context.Context, asOf, deadline time.Time) bool {
	isCurrent := func(at, _ time.Time) bool { return !at.Before(asOf) }
	now := time.Now()
	if c.outageStart(now).Before(now) {
		deadline = now
	}
	return c.awaitThat(ctx, isCurrent, deadline)
}

// awaitThat waits for a confirmation that is sufficient, until a deadline or until ctx ends, and reports
// whether there is one. isSufficient gets the time as of which the confirmation is, and the current time.
func (c *confirmation) awaitThat(ctx context.Context, isSufficient func(at, now time.Time) bool, until time.Time) bool {
	for {
		now := time.Now()
		at, renewed := c.last()
		if !at.IsZero() && isSufficient(at, now) {
			return true
		}
		if !now.Before(until) {
			return false
		}
		c.refresh.Send(now)
		timer := time.NewTimer(min(until.Sub(now), minRefreshInterval))
		select {
		case <-renewed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return false
		}
	}
}

// RoutesConfirmed implements ledger.RouteConfirmations. It loads the routes after the confirmation,
// so that they are at least as new.
func (d *Daemon) RoutesConfirmed() (version int64, asOf time.Time) {
	asOf, _ = d.routesConfirmation.last()
	table := d.table.Load()
	if table == nil {
		return 0, time.Time{}
	}
	return table.Version, asOf
}

// routesAge returns the age of the last confirmation that the routes in force are the newest.
func (d *Daemon) routesAge() time.Duration {
	asOf, _ := d.routesConfirmation.last()
	return time.Since(asOf)
}

// ConfirmRoutes implements ledger.RouteConfirmations. Daemons exchange their confirmations, which
// keeps keys confirmed further into an outage without calls to the store. A confirmation of newer
// routes makes this daemon expect them.
func (d *Daemon) ConfirmRoutes(version int64, asOf time.Time) {
	table := d.table.Load()
	switch {
	case table == nil:
	case table.Version >= version:
		d.routesConfirmation.confirm(asOf)
	default:
		d.routesConfirmation.newerRoutes.Send(time.Now())
	}
}

// Identify implements Gateway. A daemon that is isolated or was suspended must not accept a key that
// has been revoked in the meantime, so the age of its confirmation is checked. It is checked once
// the request has arrived, and is thus at least the age at which it was sent. A delay of the
// request after this check does not invalidate its key.
func (d *Daemon) Identify(ctx context.Context, query IdentifyQuery) (*tenant.Tenant, *relay.Refusal) {
	table := d.table.Load()
	switch {
	case table.Tenants == nil:
		return nil, nil
	case query.Route.Public:
		return table.Tenants.Find(query.Key), nil
	case query.Key == "":
		return nil, d.refuseKey(query, relay.Refusal{Reason: relay.ReasonUnknownKey, Detail: "The request bears no key."})
	}
	// A known key must be confirmed within the operators' limit. An unknown key is looked up in
	// newer routes.
	for _, maxAge := range [...]time.Duration{d.settings.revocationTime() - revocationMargin, maxAgeForUnknownKey} {
		if !d.awaitKeys(ctx, maxAge, query.Left) {
			return nil, d.refuseUnconfirmed(query)
		}
		if known := d.table.Load().Tenants.Find(query.Key); known != nil {
			return known, nil
		}
	}
	return nil, d.refuseKey(query, relay.Refusal{Reason: relay.ReasonUnknownKey, Detail: "No tenant has the key."})
}

// awaitKeys waits for a confirmation of the keys while it is likely to arrive before the caller's
// deadline.
func (d *Daemon) awaitKeys(ctx context.Context, maxAge, left time.Duration) bool {
	if left <= 0 {
		left = assumedPatience
	}
	now := time.Now()
	if _, isolated := d.isolatedSince(); isolated {
		return d.routesConfirmation.await(ctx, maxAge, now) // another daemon can answer at once
	}
	wait := admission.HeldUpRequest{Kind: admission.StoreUnavailable, Since: d.routesConfirmation.outageStart(now), LatestStart: now.Add(left)}
	return d.routesConfirmation.await(ctx, maxAge, d.admission.Decide(wait, now).WaitUntil)
}

func (d *Daemon) refuseUnconfirmed(query IdentifyQuery) *relay.Refusal {
	now := time.Now()
	after := d.admission.Decide(admission.HeldUpRequest{Kind: admission.StoreUnavailable, Since: d.routesConfirmation.outageStart(now)}, now).MedianRemaining
	if since, isolated := d.isolatedSince(); isolated {
		after = relay.RetryAfterReroute(since, rerouteTime)
	}
	return d.refuseKey(query, relay.Refusal{
		Reason: relay.ReasonKeysUnconfirmed, RetryAfter: after,
		Detail: "It was not confirmed lately which keys there are.",
	})
}

// refuseKey logs why a request is refused because of its key.
func (d *Daemon) refuseKey(query IdentifyQuery, refusal relay.Refusal) *relay.Refusal {
	asOf, _ := d.routesConfirmation.last()
	d.logger.Info().Str("part", "keys").Str("request", query.Request).Str("route", query.Route.Name).
		Str("reason", string(refusal.Reason)).Dur("keys_age", time.Since(asOf)).Int64("routes_version", d.table.Load().Version).
		Dur("retry_after", refusal.RetryAfter).Msg("Request refused.")
	return &refusal
}
