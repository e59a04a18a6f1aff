// Package placement decides which engine has which model, in which version, and
// which adapters. The engines are divided among control shards by hash. Each
// control shard is a replicated log, so that an order survives the daemon that
// issued it and at most one order is in force per engine. Models and adapters
// follow demand by fenced orders, slowly enough to avoid flapping and within
// the bound on engines that load weights.
package placement

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// EngineState is the recorded state of one engine.
type EngineState struct {
	Engine structs.EngineID `json:"engine"`
	// Fence is the highest fence of an order to the engine.
	Fence uint64 `json:"fence"`
	// InForce is the order that is being carried out, nil for none.
	InForce *structs.Order `json:"in_force,omitempty"`
	// IssuedAt is when the order in force was recorded.
	IssuedAt time.Time `json:"issued_at,omitzero"`
	// ChangedAt is when the engine last completed an order to load or unload a
	// model.
	ChangedAt time.Time `json:"changed_at,omitzero"`
	// FailedAt is when an order to the engine was last refused or abandoned.
	FailedAt time.Time `json:"failed_at,omitzero"`
}

// State is the replicated state of one control shard. It implements
// replication.StateMachine.
type State struct {
	engines map[structs.EngineID]*EngineState
}

// NewState returns a state without engines.
func NewState() *State { return &State{engines: map[structs.EngineID]*EngineState{}} }

// Engine returns the recorded state of an engine; the zero state for a new one.
func (s *State) Engine(id structs.EngineID) EngineState {
	if state := s.engines[id]; state != nil {
		return *state
	}
	return EngineState{Engine: id}
}

// InForce returns the engines with an order in force, sorted.
func (s *State) InForce() []EngineState {
	var busy []EngineState
	for _, state := range s.sorted() {
		if state.InForce != nil {
			busy = append(busy, *state)
		}
	}
	return busy
}

func (s *State) sorted() []*EngineState {
	return slices.SortedFunc(maps.Values(s.engines), func(a, b *EngineState) int { return cmp.Compare(a.Engine, b.Engine) })
}

// Apply implements replication.StateMachine.
func (s *State) Apply(record structs.Record) {
	switch {
	case record.OrderIssued != nil:
		s.applyIssued(record.At, record.OrderIssued)
	case record.OrderSettled != nil:
		s.applySettled(record.At, record.OrderSettled)
	case record.EngineRemoved != nil:
		delete(s.engines, record.EngineRemoved.Engine)
	}
}

// applyIssued puts an order in force, unless the engine still has one or an
// order with the same or a higher fence was in force before.
func (s *State) applyIssued(at time.Time, issued *structs.OrderIssued) {
	order := issued.Order
	state := s.engines[order.Engine]
	if state == nil {
		state = &EngineState{Engine: order.Engine}
		s.engines[order.Engine] = state
	}
	if state.InForce != nil || order.Fence <= state.Fence {
		return
	}
	state.Fence = order.Fence
	state.InForce = &order
	state.IssuedAt = at
}

func (s *State) applySettled(at time.Time, settled *structs.OrderSettled) {
	state := s.engines[settled.Engine]
	if state == nil || state.InForce == nil || state.InForce.Fence != settled.Fence {
		return
	}
	switch {
	case !settled.Done:
		state.FailedAt = at
	case state.InForce.Kind == structs.OrderLoadModel || state.InForce.Kind == structs.OrderUnloadModel:
		state.ChangedAt = at
	}
	state.InForce = nil
}

// ErrSnapshot is returned for a snapshot that cannot be read.
var ErrSnapshot = eris.New("placement: malformed snapshot")

// Snapshot implements replication.StateMachine.
func (s *State) Snapshot() ([]byte, error) {
	data, err := json.Marshal(s.sorted())
	return data, eris.Wrap(err, "placement: encode snapshot")
}

// Freeze implements replication.StateMachine.
func (s *State) Freeze() func() ([]byte, error) {
	data, err := s.Snapshot()
	return func() ([]byte, error) { return data, err }
}

// Restore implements replication.StateMachine.
func (s *State) Restore(data []byte) error {
	var engines []*EngineState
	if err := json.Unmarshal(data, &engines); err != nil {
		return eris.Wrap(ErrSnapshot, err.Error())
	}
	if slices.Contains(engines, nil) {
		return eris.Wrap(ErrSnapshot, "an entry is null")
	}
	restored := NewState()
	for _, state := range engines {
		restored.engines[state.Engine] = state
	}
	*s = *restored
	return nil
}

// Discard implements replication.StateMachine. The memory of control shards is
// not accounted for.
func (s *State) Discard() {}
