package membership

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// prober holds the probes in progress.
type prober struct {
	sequence      uint64
	ticks         int
	probes        map[uint64]*probe
	relayedProbes map[uint64]relayedProbe
}

// probe is one unanswered ping to a daemon.
type probe struct {
	target   *record
	sentAt   time.Time
	indirect clock.Timer
	timeout  clock.Timer
}

// relayedProbe is a probe made for another daemon.
type relayedProbe struct {
	origin   structs.DaemonID
	sequence uint64
}

func (p *prober) init() {
	p.probes = map[uint64]*probe{}
	p.relayedProbes = map[uint64]relayedProbe{}
}

func (p *prober) next() uint64 {
	p.sequence++
	return p.sequence
}

// probeTick probes the ring successor, and every FarProbeEvery ticks a farther
// neighbour.
func (m *Membership) probeTick() {
	m.probeSuccessor()
	m.prober.ticks++
	if m.prober.ticks%m.settings.FarProbeEvery == 0 {
		if r := m.farNeighbour(m.prober.ticks / m.settings.FarProbeEvery); r != nil {
			m.probe(r)
		}
	}
	m.after(m.settings.ProbeInterval, m.probeTick)
}

// probeSuccessor probes the next member on the ring that is not suspected.
func (m *Membership) probeSuccessor() {
	if r := m.successor(); r != nil {
		m.probe(r)
	}
}

// probe pings a daemon, and asks others to ping it if no answer comes.
func (m *Membership) probe(r *record) {
	sequence := m.prober.next()
	p := &probe{target: r, sentAt: m.Clock.Now()}
	m.prober.probes[sequence] = p
	m.sendPing(r.daemon.ID, sequence, r)
	p.indirect = m.after(m.scaledByHealth(m.settings.IndirectAfter), func() { m.probeIndirect(sequence) })
	p.timeout = m.after(m.scaledByHealth(m.settings.AckTimeout), func() { m.probeFailed(sequence) })
}

// sendPing sends a ping that carries this daemon's belief about the target, if
// the target should refute it.
func (m *Membership) sendPing(to structs.DaemonID, sequence uint64, about *record) {
	m.Transport.Send(to, &Ping{
		Sequence:        sequence,
		Digest:          m.digest(),
		Note:            m.note,
		Updates:         m.piggyback(about),
		PartitionHealed: m.isHealing(),
	})
}

// scaledByHealth lengthens a timeout while this daemon's own health is in
// doubt, by half for each point of the penalty.
func (m *Membership) scaledByHealth(d time.Duration) time.Duration {
	return d + d*time.Duration(m.healthPenalty)/2
}

func (m *Membership) probeIndirect(sequence uint64) {
	p := m.prober.probes[sequence]
	if p == nil || p.isAnswered() {
		return
	}
	for _, helper := range m.pickNeighbours(m.settings.IndirectProbes, p.target) {
		m.Transport.Send(helper.daemon.ID, &PingRequest{
			Sequence: sequence,
			Target:   p.target.daemon.ID,
			Updates:  m.piggyback(nil),
		})
	}
}

// isAnswered reports whether the target answered this probe or a later one.
func (p *probe) isAnswered() bool { return !p.target.answeredAt.Before(p.sentAt) }

// probeFailed suspects a daemon that no daemon could reach, and informs it. The
// next member on the ring is probed at once, so that several crashes in a row
// are not each detected a ProbeInterval later.
func (m *Membership) probeFailed(sequence uint64) {
	p := m.prober.probes[sequence]
	delete(m.prober.probes, sequence)
	if p == nil || p.isAnswered() {
		return
	}
	current := m.records[p.target.address] == p.target
	if !current || p.target.isGone() || p.target.status == statusSuspect {
		return
	}
	wasSuccessor := m.successor() == p.target
	update := p.target.update()
	update.Status = statusSuspect
	m.replace(p.target, update)
	m.announce(p.target.shortUpdate())
	m.sendPing(p.target.daemon.ID, m.prober.next(), p.target)
	if wasSuccessor {
		m.probeSuccessor()
	}
}

func (m *Membership) receivePing(from structs.DaemonID, ping *Ping) {
	sender := m.records[from.Address()]
	m.applyAll(from, ping.Updates)
	m.processHeartbeat(from, ping.Digest, &ping.Note)
	if ping.PartitionHealed && sender != nil && !m.healedRecently() {
		m.handleHealReport(sender)
	}
	note := m.note
	ack := &Ack{Sequence: ping.Sequence, Digest: m.digest(), Note: &note, Updates: m.piggyback(sender)}
	if containsAddress(ping.Updates, m.self.address) {
		ack.Updates = append([]Update{m.self.update()}, ack.Updates...)
	}
	m.Transport.Send(from, ack)
	if sender == nil || sender.run < from.Incarnation() {
		m.requestSync(from)
	}
}

func containsAddress(updates []Update, address string) bool {
	for _, update := range updates {
		if update.Address == address {
			return true
		}
	}
	return false
}

func (m *Membership) receiveAck(from structs.DaemonID, ack *Ack) {
	m.applyAll(from, ack.Updates)
	if !ack.Relayed {
		m.processHeartbeat(from, ack.Digest, ack.Note)
	}
	if request, found := m.prober.relayedProbes[ack.Sequence]; found {
		delete(m.prober.relayedProbes, ack.Sequence)
		m.Transport.Send(request.origin, &Ack{Sequence: request.sequence, Relayed: true, Updates: m.piggyback(nil)})
		return
	}
	p := m.prober.probes[ack.Sequence]
	if p == nil || (!ack.Relayed && p.target.daemon.ID != from) {
		return
	}
	delete(m.prober.probes, ack.Sequence)
	p.indirect.Stop()
	p.timeout.Stop()
	p.target.answeredAt = p.sentAt
	m.healthPenalty = max(0, m.healthPenalty-1)
}

// receivePingRequest probes a daemon for another, and drops the request when no
// answer comes in time.
func (m *Membership) receivePingRequest(from structs.DaemonID, request *PingRequest) {
	m.applyAll(from, request.Updates)
	sequence := m.prober.next()
	m.prober.relayedProbes[sequence] = relayedProbe{origin: from, sequence: request.Sequence}
	m.sendPing(request.Target, sequence, m.records[request.Target.Address()])
	m.after(m.settings.AckTimeout, func() { delete(m.prober.relayedProbes, sequence) })
}

// processHeartbeat handles what each probe says about its sender.
func (m *Membership) processHeartbeat(from structs.DaemonID, digest uint64, note *Note) {
	m.compareTable(from, digest)
	if note != nil && m.onNote != nil {
		m.onNote(from, *note)
	}
}
