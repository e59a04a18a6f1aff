package relaydaemon

import (
	"context"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
)

const (
	// noticeTime is how long the platform takes to see that a daemon is not
	// ready any more; requests go on to arrive until then.
	noticeTime = 2500 * time.Millisecond
	// exitMargin is kept between the end of a planned stop and its bound.
	exitMargin = 700 * time.Millisecond
)

// Stop ends the daemon as planned: it is not ready from now on, passes its
// shards on, answers what it has, and leaves. What still runs at the bound is
// cut.
func (d *Daemon) Stop() {
	started := time.Now()
	d.stopping.Store(true)
	d.logger.Info().Msg("Daemon stops.")
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.stopTime()-exitMargin)
	defer cancel()
	d.ledger.Leave()
	d.membership.Leave()
	clock.Sleep(ctx, noticeTime)
	d.relay.Drain()
	if err := d.front.drain(ctx); err != nil {
		d.logger.Warn().Err(err).Msg("Requests were cut at the end of the stop.")
	}
	d.front.close()
	d.relay.Wait(ctx)
	d.registry.withdraw(ctx)
	d.membership.Stop()
	d.cancel()
	d.transport.Close()
	for _, server := range d.servers {
		_ = server.Close()
	}
	d.logger.Info().Dur("took", time.Since(started)).Msg("Daemon stopped.")
}
