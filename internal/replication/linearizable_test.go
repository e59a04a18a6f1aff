package replication

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// operation is a read of a shard's last value, or a write of one.
type operation struct {
	write bool
	value string
}

// lastValue is the sequential specification: a register.
var lastValue = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		op := input.(operation)
		if op.write {
			return true, op.value
		}
		return output.(string) == state.(string), state
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, " -> ", output) },
}

// history collects operations. One whose outcome is unknown has no end.
type history struct {
	fleet      *testFleet
	operations []*porcupine.Operation
}

func (h *history) begin(client int, input operation) *porcupine.Operation {
	op := &porcupine.Operation{ClientId: client, Input: input, Call: h.fleet.clock.Now().UnixNano(), Return: math.MaxInt64}
	h.operations = append(h.operations, op)
	return op
}

// write proposes a value at a daemon if it believes that it leads.
func (h *history) write(d *testDaemon, client int, value string) {
	op := h.begin(client, operation{write: true, value: value})
	d.propose(shard, value, func(err error) {
		if err == nil {
			op.Return = h.fleet.clock.Now().UnixNano()
		}
	})
}

// read confirms the leadership, if confirm is set, and then reads the state.
func (h *history) read(d *testDaemon, client int, confirm bool) {
	op := h.begin(client, operation{})
	leader := d.app.led[shard]
	readState := func(err error) {
		if err != nil {
			return
		}
		op.Return, op.Output = h.fleet.clock.Now().UnixNano(), ""
		if values := leader.machine.values; len(values) > 0 {
			op.Output = values[len(values)-1]
		}
	}
	d.do(func() {
		if confirm {
			leader.leadership.Queue().Do(func() { leader.leadership.Confirm(readState) })
		} else {
			readState(nil)
		}
	})
}

// check checks the history without unanswered reads, which prove nothing.
func (h *history) check() bool {
	var operations []porcupine.Operation
	for _, op := range h.operations {
		if op.Input.(operation).write || op.Output != nil {
			operations = append(operations, *op)
		}
	}
	return porcupine.CheckOperationsTimeout(lastValue, operations, 10*time.Second) == porcupine.Ok
}

// runHistory runs reads and writes by clients of all daemons while leaders are
// paused and cut off.
func runHistory(t *testing.T, seed uint64, confirm bool) bool {
	f, daemons := startThree(t, seed, 1)
	f.detectionTime = 150 * time.Millisecond
	f.delaySpread = 30 * time.Millisecond
	f.loss = 0.1
	chance := rand.New(rand.NewPCG(seed, 5))
	h := &history{fleet: f}
	for i := range 60 {
		d := daemons[chance.IntN(len(daemons))]
		if d.app.led[shard] != nil {
			if chance.IntN(2) == 0 {
				h.write(d, i, fmt.Sprint(i))
			} else {
				h.read(d, i, confirm)
			}
		}
		f.run(time.Duration(chance.IntN(100)) * time.Millisecond)
		switch other := daemons[chance.IntN(len(daemons))]; chance.IntN(12) {
		case 0:
			f.pause(d, !d.paused)
		case 1:
			f.setPartitioned(d, other, d != other)
		case 2:
			clear(f.partitioned)
			f.updateViews()
		}
	}
	return h.check()
}

const historySeeds = 40

func TestConfirmedReadsAreLinearizable(t *testing.T) {
	for seed := range uint64(historySeeds) {
		if !runHistory(t, seed, true) {
			t.Errorf("seed %d is not linearizable", seed)
		}
	}
}

// TestUnconfirmedReadsAreNotLinearizable shows that the check can fail: a
// leader that does not confirm may have been superseded.
func TestUnconfirmedReadsAreNotLinearizable(t *testing.T) {
	for seed := range uint64(historySeeds) {
		if !runHistory(t, seed, false) {
			return
		}
	}
	t.Error("no stale read was found")
}
