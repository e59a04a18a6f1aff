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
	// revocationMargin is kept below the time within which a key that was taken away
	// must be refused: steady clocks of machines differ by less than one in 50.
	revocationMargin = 100 * time.Millisecond
	// unknownKeyAge is how old the confirmation of the keys may be for one to be
	// refused that is not among them: operators expect a new key to be taken within
	// the time that routes take, three seconds at least. A reading takes
	// routesWatch.Wait, so that an idle fleet confirms its keys within this time.
	unknownKeyAge = 2 * time.Second
	// hurryPause separates readings that are made before their time: callers without
	// a key must not make the daemon call the store for each request.
	hurryPause = 100 * time.Millisecond
	// unknownPatience is how long a caller is taken to wait that does not tell.
	unknownPatience = 2 * time.Second
)

// confirmation is when the routes in force, tenants' keys included, were last known
// to be the newest: never later than the moment of which the store's answer tells.
type confirmation struct {
	mutex sync.Mutex
	at    time.Time
	// renewed is closed at the next confirmation.
	renewed chan struct{}
	// lostAt is when the store stopped to answer, zero while it does.
	lostAt time.Time
	// hurry makes the watch of the routes read at once, and newerRoutes tells it that there
	// are newer ones: that breaks nothing off, as the reading under way brings them, and is
	// made once more only if it does not begin to.
	hurry, newerRoutes *clock.PacedSignal
}

func newConfirmation() *confirmation {
	return &confirmation{
		renewed: make(chan struct{}), hurry: clock.NewPacedSignal(hurryPause), newerRoutes: clock.NewPacedSignal(0),
	}
}

// note takes a confirmation as of a time. What the store answered
// must be in force by now.
func (c *confirmation) note(asOf time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !asOf.After(c.at) {
		return
	}
	c.at = asOf
	close(c.renewed)
	c.renewed = make(chan struct{})
}

// noteContact takes note that the store is lost, or with nil that it answers.
func (c *confirmation) noteContact(err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lostAt = time.Time{}
	if err != nil {
		c.lostAt = time.Now()
	}
}

// troubledSince is when what keeps the keys from being confirmed began: a daemon to
// which the store answers reads them in some milliseconds.
func (c *confirmation) troubledSince(now time.Time) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.lostAt.IsZero() {
		return now
	}
	return c.lostAt
}

// last returns the last confirmation, and a channel that is closed at the next.
func (c *confirmation) last() (at time.Time, renewed <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.at, c.renewed
}

// await waits for a confirmation that is no older than a time, until a moment or
// until ctx ends, and tells whether there is one.
func (c *confirmation) await(ctx context.Context, atMost time.Duration, until time.Time) bool {
	for {
		now := time.Now()
		at, renewed := c.last()
		if !at.IsZero() && now.Sub(at) <= atMost {
			return true
		}
		if !now.Before(until) {
			return false
		}
		c.hurry.Ask(now)
		timer := time.NewTimer(min(until.Sub(now), hurryPause))
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

// RoutesConfirmed implements ledger.RouteConfirmations. The routes are looked at after the
// confirmation: they are at least as new.
func (d *Daemon) RoutesConfirmed() (version int64, asOf time.Time) {
	asOf, _ = d.keys.last()
	table := d.table.Load()
	if table == nil {
		return 0, time.Time{}
	}
	return table.Version, asOf
}

// routesAge is since when it was not confirmed that the routes in force are the newest.
func (d *Daemon) routesAge() time.Duration {
	asOf, _ := d.keys.last()
	return time.Since(asOf)
}

// ConfirmRoutes implements ledger.RouteConfirmations: what each daemon hears of some others keeps
// its keys confirmed for longer into an outage, with no call to the store. A word of
// newer routes makes this daemon expect them.
func (d *Daemon) ConfirmRoutes(version int64, asOf time.Time) {
	table := d.table.Load()
	switch {
	case table == nil:
	case table.Version >= version:
		d.keys.note(asOf)
	default:
		d.keys.newerRoutes.Ask(time.Now())
	}
}

// Identify implements Gateway. What a daemon knows of the keys has an age: one that
// is cut off, or was frozen, must not take a key that was taken away. The age is
// looked at when the request has arrived, so it is at least that of when it was sent;
// whatever holds the request up afterwards, it does not count against the key.
func (d *Daemon) Identify(ctx context.Context, asked KeyQuestion) (*tenant.Tenant, *relay.Refusal) {
	table := d.table.Load()
	switch {
	case table.Tenants == nil:
		return nil, nil
	case asked.Route.Public:
		return table.Tenants.Find(asked.Key), nil
	case asked.Key == "":
		return nil, d.refuseKey(asked, relay.Refusal{Reason: relay.ReasonUnknownKey, Detail: "The request bears no key."})
	}
	// A key that is known must be confirmed within the operators' bound, and one that
	// is not is looked for in newer routes.
	for _, atMost := range [...]time.Duration{d.settings.revocationTime() - revocationMargin, unknownKeyAge} {
		if !d.awaitKeys(ctx, atMost, asked.Left) {
			return nil, d.refuseUnconfirmed(asked)
		}
		if known := d.table.Load().Tenants.Find(asked.Key); known != nil {
			return known, nil
		}
	}
	return nil, d.refuseKey(asked, relay.Refusal{Reason: relay.ReasonUnknownKey, Detail: "No tenant has the key."})
}

// awaitKeys waits for a confirmation of the keys while it is likely to come within
// the time that the caller has left.
func (d *Daemon) awaitKeys(ctx context.Context, atMost, left time.Duration) bool {
	if left <= 0 {
		left = unknownPatience
	}
	now := time.Now()
	if _, isCut := d.cutOffSince(); isCut {
		return d.keys.await(ctx, atMost, now) // another daemon can tell at once
	}
	wait := admission.HeldUpRequest{Kind: admission.StoreUnavailable, Since: d.keys.troubledSince(now), LatestStart: now.Add(left)}
	return d.keys.await(ctx, atMost, d.admission.Decide(wait, now).WaitUntil)
}

func (d *Daemon) refuseUnconfirmed(asked KeyQuestion) *relay.Refusal {
	now := time.Now()
	after := d.admission.Decide(admission.HeldUpRequest{Kind: admission.StoreUnavailable, Since: d.keys.troubledSince(now)}, now).MedianRemaining
	if since, isCut := d.cutOffSince(); isCut {
		after = relay.RetryAfterReroute(since, noticeTime)
	}
	return d.refuseKey(asked, relay.Refusal{
		Reason: relay.ReasonKeysUnconfirmed, RetryAfter: after,
		Detail: "It was not confirmed lately which keys there are.",
	})
}

// refuseKey logs why a request is refused for its key.
func (d *Daemon) refuseKey(asked KeyQuestion, refusal relay.Refusal) *relay.Refusal {
	asOf, _ := d.keys.last()
	d.logger.Info().Str("part", "keys").Str("request", asked.Request).Str("route", asked.Route.Name).
		Str("reason", string(refusal.Reason)).Dur("keys_age", time.Since(asOf)).Int64("routes_version", d.table.Load().Version).
		Dur("retry_after", refusal.RetryAfter).Msg("Request refused.")
	return &refusal
}
