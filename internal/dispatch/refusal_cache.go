package dispatch

import "github.com/mintpulley/mintpulley/internal/structs"

// maximumRefusals bounds the remembered refusals of one shard.
const maximumRefusals = 1024

// refusalCache keeps the latest unrecorded refusals of a leadership. A gateway
// may send a submission twice: accepting the second copy after the first was
// refused as not run would make that answer wrong.
type refusalCache struct {
	outcomes map[attachment]structs.Outcome
	order    []attachment
}

func newRefusalCache() *refusalCache {
	return &refusalCache{outcomes: map[attachment]structs.Outcome{}}
}

func (m *refusalCache) find(follower attachment) (structs.Outcome, bool) {
	outcome, found := m.outcomes[follower]
	return outcome, found
}

func (m *refusalCache) add(follower attachment, outcome structs.Outcome) {
	if _, known := m.outcomes[follower]; known {
		return
	}
	if len(m.order) >= maximumRefusals {
		delete(m.outcomes, m.order[0])
		m.order = append(m.order[:0:0], m.order[1:]...)
	}
	m.outcomes[follower] = outcome
	m.order = append(m.order, follower)
}
