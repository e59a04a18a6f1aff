package proxy

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// regionalView assigns the first half of a fleet's daemons to one region and the second half to
// another.
type regionalView struct{ *fleet }

func (v regionalView) Members() []membership.Member {
	members := v.fleet.Members()
	for i := range members {
		members[i].Daemon.Region = "north"
		if i >= len(members)/2 {
			members[i].Daemon.Region = "south"
		}
	}
	return members
}

// newRegionalFleet returns a fleet of six daemons in two regions. The store refuses the direct
// calls of the first daemon.
func newRegionalFleet() *fleet {
	f := newFleet(6)
	f.directStores[0].set(refused)
	f.services[0] = New(Options{
		Self: f.ids[0], Region: structs.RegionName("north"), Direct: f.directStores[0], Transport: &transport{fleet: f, self: f.ids[0]},
		View: regionalView{f}, Random: rand.New(rand.NewPCG(1, 9)), Logger: zerolog.Nop(), Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	return f
}

// append makes calls one after the other and returns how many succeeded.
func (f *fleet) append(t *testing.T, calls int) (done int) {
	for range calls {
		if f.services[0].Append(timeoutContext(t, time.Second), partition, store.Writer{}, []store.Record{record}) == nil {
			done++
		}
		time.Sleep(noHelperPause / 2)
	}
	return done
}

func TestHelpersAreOfTheOwnRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRegionalFleet()
		for round := range 20 { // each round chooses a helper again
			f.services[0].helpers = helpers{}
			if done := f.append(t, 3); done != 3 {
				t.Errorf("round %d: %d of 3 calls succeeded", round, done)
			}
		}
		for i := 3; i < 6; i++ {
			if got := f.directStores[i].count(); got > 0 {
				t.Errorf("daemon %d of the other region made %d calls", i, got)
			}
		}
	})
}

// TestRegionThatDoesNotReachTheStoreIsHelpedByAnother checks that helpers of another region are
// asked if those of the own region are refused by the store or do not answer.
func TestRegionThatDoesNotReachTheStoreIsHelpedByAnother(t *testing.T) {
	for name, lose := range map[string]func(f *fleet, i int){
		"refused": func(f *fleet, i int) { f.directStores[i].set(refused) },
		"silent":  func(f *fleet, i int) { f.disconnect(f.ids[i]) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRegionalFleet()
				lose(f, 1)
				lose(f, 2)
				if done := f.append(t, 20); done < 14 {
					t.Errorf("%d of 20 calls succeeded", done)
				}
			})
		})
	}
}
