package membership

import (
	"slices"
	"time"
)

// pendingVerification is a run about which tables disagree. The probe is no
// longer needed once the run's state in this table has changed.
type pendingVerification struct {
	address string
	gone    bool
}

// verify queues a probe of a daemon. Queued probes are sent at a limited rate.
func (m *Membership) verify(r *record) {
	s := &m.syncer
	entry := pendingVerification{address: r.address, gone: r.isGone()}
	if slices.Contains(s.pending, entry) {
		return
	}
	s.pending = append(s.pending, entry)
	if !s.verifying {
		s.verifying = true
		m.verifyNext()
	}
}

// verifyNext probes the next queued run about which tables still disagree.
func (m *Membership) verifyNext() {
	s := &m.syncer
	if len(s.pending) == 0 {
		s.verifying = false
		return
	}
	next := s.pending[0]
	s.pending = s.pending[1:]
	r := m.records[next.address]
	if r == nil || r.isGone() != next.gone {
		m.verifyNext()
		return
	}
	if r.isGone() {
		m.sendPing(r.daemon.ID, m.prober.next(), r)
	} else {
		m.probe(r)
	}
	m.after(time.Second/time.Duration(m.settings.VerifyPerSecond), m.verifyNext)
}
