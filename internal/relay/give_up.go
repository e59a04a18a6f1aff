package relay

import (
	"context"
	"errors"
	"time"

	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// errGivenUp ends the wait for a back end that is believed not to be reached or whose run is
// over, and the wait for records that can not be reached.
var errGivenUp = httpconn.ErrPeerCutOff

// GiveUpSilent ends the wait for silent back ends whose run is over, and the wait for those that
// are only believed not to be reached, if another takes the request. It also ends that of turns for
// their records while this daemon is isolated. It implements reach.Connections.
//
// The belief is wrong of back ends that leave, are full, or pause while their zone's daemons start
// again: they go on with the answers that they have. So it ends no answer that only they can give.
// Where they are really gone the connection fails by itself, as package httpconn has it probed.
func (r *Relay) GiveUpSilent(now time.Time) {
	m := r.monitor
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for o := range m.offers {
		if m.excess(o, now) <= silentMargin {
			continue
		}
		isDoubted := m.isDoubted(o, now)
		if isDoubted && m.hasAlternative(o) || m.relay.Pool.IsReplaced(o.target) {
			o.giveUp(errGivenUp)
		}
	}
	m.dropOldProbes(now)
	if _, isolated := m.isolatedSince(); isolated {
		for giveUp := range m.pendingBegins {
			(*giveUp)(errGivenUp)
		}
	}
}

// isDoubted tells whether the instance of a silent offer is believed not to be reached. The mutex
// must be held.
func (m *offerMonitor) isDoubted(o *pendingOffer, now time.Time) bool {
	return m.isCut(o.target.Zone) || m.relay.Pool.IsSuperseded(o.target.ID) || !m.isReachable(o, now)
}

// hasAlternative tells whether another instance takes an offer's request.
func (m *offerMonitor) hasAlternative(o *pendingOffer) bool {
	return o.alternative != nil && m.relay.Pool.HasReady(*o.alternative, m.isCut)
}

// WatchSilence calls GiveUpSilent until ctx ends. It is for a fleet of one zone, where no
// reach.Watch calls it.
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

// untilIsolated returns a context that also ends when this daemon is isolated.
func (m *offerMonitor) untilIsolated(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, giveUp := context.WithCancelCause(ctx)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.pendingBegins[&giveUp] = struct{}{}
	return ctx, func() {
		m.mutex.Lock()
		delete(m.pendingBegins, &giveUp)
		m.mutex.Unlock()
		giveUp(nil)
	}
}

// isGivenUp tells whether a context ended because what waited under it was given up.
func isGivenUp(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errGivenUp) }
