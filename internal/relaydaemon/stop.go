package relaydaemon

import (
	"context"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
)

// A planned shutdown has two limits. At the shutdown deadline, requests without a complete answer
// are refused or aborted. At the kill, exitMargin later, the platform kills the process: its stop
// time (Settings.StopSeconds) is over.

const (
	// rerouteTime is how long the platform takes to route new connections to other daemons after
	// this one became unready; requests keep arriving until then.
	rerouteTime = 2500 * time.Millisecond
	// handoverTimeout is how long a daemon that has answered all requests waits for the handover of
	// its shards, as a successor may take seconds to read them.
	handoverTimeout = 2 * time.Second
	// exitMargin is the time between the shutdown deadline and the kill.
	exitMargin = 700 * time.Millisecond
	// refusalTime is the part of exitMargin, right after the shutdown deadline, in which waiting
	// callers are refused, and complete answers still wait for their record.
	refusalTime = 200 * time.Millisecond
	// killMargin is the part of exitMargin, right before the kill, that is left for stopping the
	// membership and closing the transport and the servers. Earlier work, such as settling the
	// turns that were aborted, is limited to the time before it.
	killMargin = 250 * time.Millisecond
)

// Stop performs a planned shutdown: the daemon becomes unready, hands over its shards, finishes its
// requests, and leaves the fleet. Requests without a complete answer at the shutdown deadline are
// refused or aborted. The stop time counts from the first call; further calls wait for its return.
func (d *Daemon) Stop() { d.stopOnce.Do(d.stop) }

func (d *Daemon) stop() {
	started := time.Now()
	d.stopping.Store(true)
	d.relay.StopBy(started.Add(d.settings.stopTime() - exitMargin))
	d.logger.Info().Msg("Daemon stops.")
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.stopTime()-exitMargin)
	defer cancel()
	d.ledger.Leave()
	d.regional.leave()
	d.membership.Leave()
	clock.Sleep(ctx, rerouteTime)
	d.relay.Drain()
	d.drainFront(ctx)
	d.waitForHandover(ctx)
	d.settleAndWithdraw(started.Add(d.settings.stopTime() - killMargin))
	d.membership.Stop()
	d.cancel()
	d.transport.Close()
	for _, server := range d.servers {
		_ = server.Close()
	}
	d.logger.Info().Dur("took", time.Since(started)).Msg("Daemon stopped.")
}

// drainFront answers the requests that callers have sent. ctx ends at the shutdown deadline: a
// request that still waits is then refused, and an answer that has begun is visibly aborted; only a
// complete answer continues to wait for its record, as the ledger still works. Connections that are
// open refusalTime later are closed.
func (d *Daemon) drainFront(ctx context.Context) {
	defer d.front.close()
	if d.front.drain(ctx) == nil || d.front.forceExpireIdle() == 0 {
		return
	}
	d.logger.Warn().Int("connections", d.front.count()).Msg("Shutdown deadline reached. Unfinished requests are refused or aborted.")
	d.front.reachShutdownDeadline()
	ctx, cancel := context.WithTimeout(context.Background(), refusalTime)
	defer cancel()
	if d.front.drain(ctx) != nil {
		d.logger.Warn().Int("connections", d.front.count()).Msg("Shutdown deadline reached. Remaining connections are closed.")
	}
}

// waitForHandover waits until successors have read the shards that this daemon still holds, but at
// most for handoverTimeout, and not beyond the shutdown deadline, at which ctx ends.
func (d *Daemon) waitForHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	d.ledger.WaitForHandover(ctx)
	d.regional.waitForHandover(ctx)
}

// settleAndWithdraw waits for calls in progress, settles turns, watches the back ends of runs that were
// cut, stores which of them ended, and withdraws this daemon's registry entry, until end, which is
// killMargin before the kill. Some of exitMargin is left for it even if requests ran until the
// shutdown deadline.
func (d *Daemon) settleAndWithdraw(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	var withdrawing sync.WaitGroup
	withdrawing.Go(func() { d.registry.withdraw(ctx) })
	d.relay.Wait(ctx)
	d.regional.wait(ctx)
	d.guard.Flush(ctx)
	withdrawing.Wait()
}
