package instance

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// A service's only version counts as such only since no other can have come and gone.
func TestSoleVersionCountsFromTheLastOther(t *testing.T) {
	listed := []Instance{{ID: "a", Service: "s", Address: "a:1", Version: "v1", State: StateReady}}
	for name, test := range map[string]struct {
		// unread is for how long the list was not read before the update.
		unread  time.Duration
		update  Update
		isSince bool
	}{
		"read all the time, complete": {time.Second, Update{Instances: listed, Complete: true}, false},
		"unread, complete":            {5 * time.Second, Update{Instances: listed, Complete: true}, true},
		"unread, changes":             {5 * time.Second, Update{Instances: listed}, false},
		"another passed":              {time.Second, Update{Passed: []ServiceVersion{{"s", "v2"}}}, true},
		"the same passed":             {time.Second, Update{Passed: []ServiceVersion{{"s", "v1"}}}, false},
		"one of another service":      {time.Second, Update{Passed: []ServiceVersion{{"other", "v2"}}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := NewPool(rand.New(rand.NewPCG(1, 1)), Plugins{})
				p.Replace(listed)
				time.Sleep(time.Minute)
				p.ConfirmList(time.Now())
				time.Sleep(test.unread)
				p.Apply(test.update)
				sole, isSole := p.SoleVersion("s")
				if isSince := time.Since(sole.Since) == 0; !isSole || sole.Version != "v1" || isSince != test.isSince || sole.IsSinceStart == test.isSince {
					t.Errorf("got %+v, sole: %v, want it to count from now: %v", sole, isSole, test.isSince)
				}
			})
		})
	}
}
