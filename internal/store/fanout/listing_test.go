package fanout

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/memory"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// loneView is the view of a daemon that knows only itself.
type loneView struct{ membership.View }

func (loneView) Members() []membership.Member { return make([]membership.Member, 1) }

// TestListWaitsOnlyWhereRecordsAreDistributed checks that a daemon which has started and knows no
// other lists at once in a fleet whose daemons all read from the store, and waits for others in a
// larger one.
func TestListWaitsOnlyWhereRecordsAreDistributed(t *testing.T) {
	for daemons, waits := range map[int]bool{11: false, 114: false, 984: true} {
		synctest.Test(t, func(t *testing.T) {
			discovered := make(chan struct{})
			partition := store.Partition{Space: "x"}
			s := New(Options{
				Store: memory.New(), Partitions: []store.Partition{partition}, Self: structs.Daemon{Zone: "a"}, View: loneView{},
				ExpectedDaemons: func() int { return daemons }, Discovered: func() <-chan struct{} { return discovered },
				Logger: zerolog.Nop(), Metrics: NewMetrics(prometheus.NewRegistry()),
			})
			time.AfterFunc(time.Second, func() { close(discovered) })
			began := time.Now()
			if _, err := s.List(t.Context(), partition); err != nil {
				t.Fatal(err)
			}
			if took := time.Since(began); (took > 0) != waits {
				t.Errorf("%d daemons: listed after %s, want a wait: %t", daemons, took, waits)
			}
			time.Sleep(time.Second)
		})
	}
}
