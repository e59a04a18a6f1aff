package backends

import (
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Receive handles a message from another daemon. It returns false for messages of
// other packages.
func (d *Directory) Receive(from structs.DaemonID, message peer.Message) bool {
	switch message := message.(type) {
	case *Leaving:
		d.receiveLeaving(message)
	case *Loads:
		for _, digest := range message.Summaries {
			d.receiveSummary(digest)
		}
	case *FindEngines:
		d.handleFind(from, message)
	case *EnginesFound:
		d.borrow(message)
	default:
		return false
	}
	return true
}

// receiveLeaving applies another daemon's Leaving message. It is not forwarded: the
// daemon that observed it has sent it to all.
func (d *Directory) receiveLeaving(message *Leaving) {
	d.mutex.Lock()
	b := d.backEnds[message.BackEnd]
	news := b != nil && b.observeDraining(message.Run, d.Settings, d.Clock.Now())
	application := b != nil && !b.isEngine()
	d.mutex.Unlock()
	d.updateScheduler(message.BackEnd)
	if news && application {
		d.probeApplication(message.BackEnd)
	}
}

func (d *Directory) receiveSummary(digest LoadSummary) {
	d.mutex.Lock()
	b := d.backEnds[digest.Engine]
	if b == nil || !b.listed || !d.uses(b) {
		d.mutex.Unlock()
		return
	}
	if digest.Failed {
		b.failures = d.Settings.FailureLimit
		b.lastReportAt = d.Clock.Now()
		d.mutex.Unlock()
		d.updateScheduler(digest.Engine)
		return
	}
	b.failures = 0
	b.unreachable = false
	d.applyReport(b, digest.report())
	d.mutex.Unlock()
	d.updateScheduler(digest.Engine)
	d.forwardReport(digest.report())
}

// broadcast sends a message to the daemons of the cell, in a small fleet to all.
func (d *Directory) broadcast(message peer.Message) {
	d.mutex.Lock()
	peers := d.cells.peers
	d.mutex.Unlock()
	for _, other := range peers {
		d.Transport.Send(other, message)
	}
}

// sendSummaries sends the load of the watched engines to the cell.
func (d *Directory) sendSummaries(cells cells) {
	d.mutex.Lock()
	var digests []LoadSummary
	for _, id := range cells.watched {
		b := d.backEnds[id]
		if b == nil || !b.listed || b.report.Engine == "" {
			continue
		}
		digest := summaryOf(b.report)
		digest.Failed = b.suspected(d.Settings, d.Clock.Now())
		digests = append(digests, digest)
	}
	d.mutex.Unlock()
	if len(digests) == 0 {
		return
	}
	for _, other := range cells.peers {
		d.Transport.Send(other, &Loads{Summaries: digests})
	}
}
