package dispatch

import "github.com/mintpulley/mintpulley/internal/structs"

// rememberedRefusals bounds the memory of refused submissions in one shard.
const maximumRefusals = 1024

// refusalMemory keeps the latest refusals of a leadership that no record
// keeps. A gateway may have sent a submission twice; were the second copy
// accepted after the first was refused, "not run" would have been a lie.
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
