package relaydaemon

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/route"
	"github.com/mintpulley/mintpulley/internal/store/memory"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// TestColdBackEndsAreSharedAmongListedDaemons checks that daemons share the rate of a cold back
// end, that a request causes the list of daemons to be read again, and that a cold back end gets no
// requests while that list cannot be read.
func TestColdBackEndsAreSharedAmongListedDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var registries []*memberRegistry
		for _, address := range []string{"a:1", "a:2"} {
			registry := newTestRegistry(s, address)
			registry.coldLimiter.SetServices(map[string]*route.Service{"s": {Name: "s", ColdRequestsPerSecond: 10}})
			registry.incarnation()
			running.Go(func() { registry.run(ctx, func([]structs.Machine) {}) })
			registries = append(registries, registry)
		}
		cold := &instance.Instance{ID: "i", Service: "s", HasColdFor: true, ColdFor: time.Hour, ReceivedAt: time.Now()}
		sent := func() (count int) {
			for range 60 {
				for _, registry := range registries {
					if _, reserved := registry.coldLimiter.Reserve(cold, time.Now()); reserved {
						count++
					}
				}
				time.Sleep(50 * time.Millisecond)
			}
			return count
		}
		time.Sleep(20 * time.Second)
		if got := sent(); got < 8 || got > 22 {
			t.Errorf("%d requests in three seconds, want some 20", got)
		}
		s.SetDown(true)
		time.Sleep(4 * time.Second)
		if got := sent(); got != 0 {
			t.Errorf("%d requests although the other daemons are unknown", got)
		}
		s.SetDown(false)
		time.Sleep(2 * time.Second)
		if got := sent(); got < 8 || got > 22 {
			t.Errorf("%d requests in three seconds after the outage, want some 20", got)
		}
		stop()
		running.Wait()
	})
}
