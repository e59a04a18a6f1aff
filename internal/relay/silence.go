package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/zone"
)

const (
	// overdueBeyond is by how much a back end must exceed what it usually takes to
	// count as overdue, and silentBeyond the same as silent.
	overdueBeyond = 100 * time.Millisecond
	silentBeyond  = 300 * time.Millisecond
	// paceFactor times the usual time is what counts as usual: single requests differ
	// by as much.
	paceFactor = 2
	// failureLife is for how long a back end that broke off counts as silent; it may be
	// its zone's connections that are reset.
	failureLife = time.Second
	// cutConnectTime bounds one try to connect to a back end in a zone that is cut off:
	// some ways to another region. Nothing is sent if it fails.
	cutConnectTime = 100 * time.Millisecond
)

// errCutOff ends what waits for a zone, or for records, that can not be reached.
var errCutOff = httpconn.ErrGivenUp

// underway is an offer that a back end has not answered to its end. Its silences'
// mutex guards it.
type underway struct {
	target instance.Instance
	kind   string
	// waitingSince is since when nothing has come, and started tells that something
	// did before.
	waitingSince time.Time
	started      bool
	giveUp       context.CancelCauseFunc
}

// silences are the requests that wait for something, and give up when it is cut off.
type silences struct {
	relay *Relay
	// zones is nil in a fleet of one zone.
	zones *zone.Reachability
	mutex sync.Mutex
	// offers wait for back ends, and beginning are turns that wait for their record.
	offers    map[*underway]struct{}
	beginning map[*context.CancelCauseFunc]struct{}
	// failed are the instances that broke off lately, and tried those that were tried to
	// connect to as they are silent.
	failed map[string]failure
	tried  map[string]*tried
}

// failure is where and when an instance broke off.
type failure struct {
	zone string
	at   time.Time
}

func newSilences(r *Relay) *silences {
	return &silences{
		relay: r, zones: r.Zones,
		offers: map[*underway]struct{}{}, beginning: map[*context.CancelCauseFunc]struct{}{},
		failed: map[string]failure{}, tried: map[string]*tried{},
	}
}

// begin watches an offer until end. The context ends when it is given up.
func (s *silences) begin(ctx context.Context, target instance.Instance, kind string) (context.Context, *underway) {
	ctx, giveUp := context.WithCancelCause(ctx)
	u := &underway{target: target, kind: kind, waitingSince: time.Now(), giveUp: giveUp}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.offers[u] = struct{}{}
	return ctx, u
}

func (s *silences) end(u *underway) {
	s.mutex.Lock()
	delete(s.offers, u)
	s.mutex.Unlock()
	u.giveUp(nil)
}

// hear takes note that a back end sent something.
func (s *silences) hear(u *underway, now time.Time) {
	if s.zones != nil {
		s.zones.Heard(u.target.Zone, now)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	u.waitingSince, u.started = now, true
}

// waitOn takes note that the back end is waited for only from now on: until now the
// caller was.
func (s *silences) waitOn(u *underway) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	u.waitingSince = time.Now()
}

// noteFailed takes note that an instance broke off, and tells whether it does not speak
// against it, as its zone is cut off.
func (s *silences) noteFailed(target instance.Instance, now time.Time) bool {
	if s.zones == nil {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failed[target.ID] = failure{target.Zone, now}
	return s.isCut(target.Zone)
}

func (s *silences) isCut(zone string) bool { return s.zones != nil && s.zones.IsCut(zone) }

// usual is how long the back end of an offer may say nothing.
func (s *silences) usual(u *underway) time.Duration {
	if u.started {
		return paceFactor * s.relay.Pool.Pace(u.target.ID, u.kind)
	}
	return paceFactor * s.relay.serving.of(u.kind).first
}

// Waiting returns what this daemon's requests tell of the back ends of each zone. It
// implements reach.Connections.
func (r *Relay) Waiting(now time.Time) map[string]zone.Waiting {
	s := r.silences
	s.mutex.Lock()
	defer s.mutex.Unlock()
	// longest is by how much each instance exceeds what is usual.
	longest := map[string]time.Duration{}
	zones := map[string]string{}
	for id, failed := range s.failed {
		if now.Sub(failed.at) > failureLife {
			delete(s.failed, id)
			continue
		}
		longest[id], zones[id] = silentBeyond+1, failed.zone
	}
	for u := range s.offers {
		if beyond := now.Sub(u.waitingSince) - s.usual(u); beyond > longest[u.target.ID] {
			longest[u.target.ID] = beyond
			zones[u.target.ID] = u.target.Zone
		}
	}
	waiting := map[string]zone.Waiting{}
	for id, beyond := range longest {
		w := waiting[zones[id]]
		if beyond > overdueBeyond {
			w.Overdue++
		}
		if beyond > silentBeyond {
			w.Silent++
		}
		waiting[zones[id]] = w
	}
	return waiting
}

// GiveUpSilent ends the wait for back ends that are silent in zones that are cut off,
// or that can not be connected to, and of turns for their records while this daemon is
// cut off. Requests on connections that still get something go on. It implements
// reach.Connections.
func (r *Relay) GiveUpSilent(now time.Time) {
	s := r.silences
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for u := range s.offers {
		if now.Sub(u.waitingSince)-s.usual(u) <= silentBeyond {
			continue
		}
		if s.isCut(u.target.Zone) || !s.isReached(u, now) {
			u.giveUp(errCutOff)
		}
	}
	s.forgetTries(now)
	if _, isolated := s.cutOffSince(); isolated {
		for giveUp := range s.beginning {
			(*giveUp)(errCutOff)
		}
	}
}

// WatchSilence gives up what is silent until ctx ends, in a fleet of one zone, where
// nothing else watches.
func (r *Relay) WatchSilence(ctx context.Context) {
	ticker := time.NewTicker(zone.StepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.GiveUpSilent(now)
		}
	}
}

// untilCutOff returns a context that also ends when this daemon is cut off.
func (s *silences) untilCutOff(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, giveUp := context.WithCancelCause(ctx)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.beginning[&giveUp] = struct{}{}
	return ctx, func() {
		s.mutex.Lock()
		delete(s.beginning, &giveUp)
		s.mutex.Unlock()
		giveUp(nil)
	}
}

// isGivenUp tells whether a context ended because something is cut off.
func isGivenUp(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errCutOff) }

// connectTime bounds the connecting to an instance; 0 for the driver's own bound.
func (s *silences) connectTime(target instance.Instance) time.Duration {
	if !s.isCut(target.Zone) {
		return 0
	}
	return cutConnectTime
}

// cutOffSince tells since when this daemon has been cut off.
func (s *silences) cutOffSince() (time.Time, bool) {
	if s.zones == nil {
		return time.Time{}, false
	}
	return s.zones.Isolated()
}

// AwayIn is when a caller should come back that is refused since this daemon is cut
// off: once those who connect anew are led to others, which is some time after it
// found that.
func AwayIn(since time.Time, awayAfter time.Duration) time.Duration {
	return max(time.Until(since.Add(awayAfter)), stoppingPause)
}

// cutOff ends a call that this daemon can not serve while it is cut off. Its caller is
// to come back when the platform leads it to a daemon elsewhere.
func (c *carrier) cutOff(since time.Time) Refusal {
	return Refusal{Reason: ReasonCutOff, RetryAfter: AwayIn(since, c.relay.AwayAfter), Detail: "This daemon is cut off from most of the fleet."}
}

// needsRecord tells whether the call can not be served without its program's record.
func (c *carrier) needsRecord() bool { return c.isTurn() && c.call.Route.RetainContext }

// refuseCutOff ends the call if this daemon is cut off, and tells whether it did.
func (c *carrier) refuseCutOff() bool {
	since, isCut := c.relay.silences.cutOffSince()
	if isCut {
		c.refuse(c.cutOff(since))
	}
	return isCut
}
