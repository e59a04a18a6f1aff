package backends

import (
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Receive handles a message of this package, and reports whether it is one.
func (d *Directory) Receive(from structs.DaemonID, message peer.Message) bool {
	switch message := message.(type) {
	case *Leaving:
		d.receiveLeaving(message)
	case *Loads:
		for _, summary := range message.Summaries {
			d.receiveSummary(summary)
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

// receiveLeaving applies another daemon's Leaving message. It is not forwarded: its
// first sender has sent it to the whole cell.
func (d *Directory) receiveLeaving(message *Leaving) {
	d.mutex.Lock()
	b := d.backEnds[message.BackEnd]
	isNew := b != nil && b.observeDraining(message.Run, d.Settings, d.Clock.Now())
	application := b != nil && !b.isEngine()
	d.mutex.Unlock()
	d.updateScheduler(message.BackEnd)
	if isNew && application {
		d.probeApplication(message.BackEnd)
	}
}

func (d *Directory) receiveSummary(summary LoadSummary) {
	d.mutex.Lock()
	b := d.backEnds[summary.Engine]
	if b == nil || !b.listed || !d.uses(b) {
		d.mutex.Unlock()
		return
	}
	if summary.Failed {
		b.failures = d.Settings.FailureLimit
		b.lastReportAt = d.Clock.Now()
		d.mutex.Unlock()
		d.updateScheduler(summary.Engine)
		return
	}
	b.failures = 0
	b.unreachable = false
	d.applyReport(b, summary.report())
	d.mutex.Unlock()
	d.updateScheduler(summary.Engine)
	d.forwardReport(summary.report())
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
	var summaries []LoadSummary
	for _, id := range cells.watched {
		b := d.backEnds[id]
		if b == nil || !b.listed || b.report.Engine == "" {
			continue
		}
		summary := summaryOf(b.report)
		summary.Failed = b.suspected(d.Settings, d.Clock.Now())
		summaries = append(summaries, summary)
	}
	d.mutex.Unlock()
	if len(summaries) == 0 {
		return
	}
	for _, other := range cells.peers {
		d.Transport.Send(other, &Loads{Summaries: summaries})
	}
}
