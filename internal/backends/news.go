package backends

import (
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Receive takes a message that arrived; false means it is another part's.
func (d *Directory) Receive(from structs.DaemonID, message peer.Message) bool {
	switch message := message.(type) {
	case *Leaving:
		d.heardLeaving(message)
	case *Loads:
		for _, digest := range message.Summaries {
			d.heardDigest(digest)
		}
	case *FindEngines:
		d.answerFind(from, message)
	case *EnginesFound:
		d.borrow(message)
	default:
		return false
	}
	return true
}

// heardLeaving takes another daemon's word. It is not passed on again: the
// daemon that heard it from the back end has told all.
func (d *Directory) heardLeaving(message *Leaving) {
	d.mutex.Lock()
	b := d.backEnds[message.BackEnd]
	news := b != nil && b.sawDraining(message.Run, d.Settings, d.Clock.Now())
	application := b != nil && !b.isEngine()
	d.mutex.Unlock()
	d.tell(message.BackEnd)
	if news && application {
		d.probeApplication(message.BackEnd)
	}
}

func (d *Directory) heardDigest(digest LoadSummary) {
	d.mutex.Lock()
	b := d.backEnds[digest.Engine]
	if b == nil || !b.listed || !d.uses(b) {
		d.mutex.Unlock()
		return
	}
	if digest.Failed {
		b.failures = d.Settings.FailureLimit
		b.heardAt = d.Clock.Now()
		d.mutex.Unlock()
		d.tell(digest.Engine)
		return
	}
	b.failures = 0
	b.unreachable = false
	d.takeReport(b, digest.report())
	d.mutex.Unlock()
	d.tell(digest.Engine)
	d.passReport(digest.report())
}

// passOn tells the daemons of the cell, in a small fleet all.
func (d *Directory) passOn(message peer.Message) {
	d.mutex.Lock()
	peers := d.cells.peers
	d.mutex.Unlock()
	for _, other := range peers {
		d.Transport.Send(other, message)
	}
}

// sendDigests passes this daemon's readings on to its cell.
func (d *Directory) sendDigests(cells cells) {
	d.mutex.Lock()
	var digests []LoadSummary
	for _, id := range cells.watched {
		b := d.backEnds[id]
		if b == nil || !b.listed || b.report.Engine == "" {
			continue
		}
		digest := digestOf(b.report)
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
