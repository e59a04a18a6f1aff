package relaydaemon

import (
	"context"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
)

const (
	// noticeTime is how long the platform takes to see that a daemon is not
	// ready any more; requests go on to arrive until then.
	noticeTime = 2500 * time.Millisecond
	// handoverWait bounds how long a daemon that has answered everything waits for
	// its shards to be passed on: a small successor reads some for seconds.
	handoverWait = 2 * time.Second
	// exitMargin is kept between the last answers of a planned stop and its
	// bound, at which the platform kills the process.
	exitMargin = 700 * time.Millisecond
	// refusalTime is the part of it in which callers that still wait are told
	// that they wait in vain, and in which whole answers still wait for their record.
	refusalTime = 200 * time.Millisecond
	// killMargin is kept between the end of everything else, such as settling the
	// turns that were given up, and the kill.
	killMargin = 250 * time.Millisecond
)

// Stop ends the daemon as planned: it is not ready from now on, passes its
// shards on, answers what it has, and leaves. What still runs at the bound is
// given up.
// Further calls wait for the first.
func (d *Daemon) Stop() { d.stopOnce.Do(d.stop) }

func (d *Daemon) stop() {
	started := time.Now()
	d.stopping.Store(true)
	d.logger.Info().Msg("Daemon stops.")
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.stopTime()-exitMargin)
	defer cancel()
	d.ledger.Leave()
	d.regional.leave()
	d.membership.Leave()
	clock.Sleep(ctx, noticeTime)
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

// drainFront answers what callers have sent. Who still waits when ctx ends gets
// a refusal, or where an answer has begun, its visible break; only an answer that is
// whole goes on to wait for its record, since the ledger serves until the end of the
// stop. What does not end in refusalTime is cut.
func (d *Daemon) drainFront(ctx context.Context) {
	defer d.front.close()
	if d.front.drain(ctx) == nil || d.front.endRests() == 0 {
		return
	}
	d.logger.Warn().Int("connections", d.front.count()).Msg("Requests are given up at the bound of the stop.")
	d.front.giveUp()
	ctx, cancel := context.WithTimeout(context.Background(), refusalTime)
	defer cancel()
	if d.front.drain(ctx) != nil {
		d.logger.Warn().Int("connections", d.front.count()).Msg("Requests were cut at the bound of the stop.")
	}
}

// waitForHandover lets successors read the shards that this daemon still holds.
func (d *Daemon) waitForHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverWait)
	defer cancel()
	d.ledger.WaitForHandover(ctx)
	d.regional.waitForHandover(ctx)
}

// settleAndWithdraw settles turns and withdraws this daemon's entry, both until
// end: also after requests took all of the time that is for them.
func (d *Daemon) settleAndWithdraw(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	var withdrawing sync.WaitGroup
	withdrawing.Go(func() { d.registry.withdraw(ctx) })
	d.relay.Wait(ctx)
	d.regional.wait(ctx)
	withdrawing.Wait()
}
