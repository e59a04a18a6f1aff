package relay

import (
	"context"
	"errors"
	"time"

	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// errGivenUp is the cause of canceling a wait: for a back end that is presumed unreachable
// or has restarted, or for a program's record that cannot be reached.
var errGivenUp = httpconn.ErrPeerCutOff

// GiveUpSilent cancels the waits for silent back ends that have restarted, and for silent
// back ends that are presumed unreachable if another back end can take the request. While
// this daemon is isolated it also cancels the waits of turns for their program's record. It
// implements reach.Connections.
//
// The presumption is wrong for back ends that are shutting down, are full, or pause while
// the daemons of their zone restart: they do complete their answers. It therefore never
// ends an answer that only they can give. If such a back end is really gone, the TCP
// keepalive of package httpconn fails the connection.
func (r *Relay) GiveUpSilent(now time.Time) {
	m := r.monitor
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for o := range m.offers {
		if m.overdueBy(o, now) <= silentMargin {
			continue
		}
		presumedUnreachable := m.presumedUnreachable(o, now)
		if presumedUnreachable && m.hasAlternative(o) || m.relay.Pool.IsReplaced(o.target) {
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

// presumedUnreachable reports whether the instance of a silent offer is presumed
// unreachable. The mutex must be held.
func (m *offerMonitor) presumedUnreachable(o *pendingOffer, now time.Time) bool {
	return m.isCutOff(o.target.Zone) || m.relay.Pool.IsSuperseded(o.target.ID) || !m.isReachable(o, now)
}

// hasAlternative reports whether another instance can take an offer's request.
func (m *offerMonitor) hasAlternative(o *pendingOffer) bool {
	return o.alternative != nil && m.relay.Pool.HasReady(*o.alternative, m.isCutOff)
}

// WatchSilence calls GiveUpSilent periodically until ctx ends. It is for a fleet of one
// zone, where no reach.Monitor calls it.
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

// untilIsolated returns a context that is also canceled when this daemon becomes isolated.
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

// isGivenUp reports whether a context was canceled with errGivenUp.
func isGivenUp(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errGivenUp) }
