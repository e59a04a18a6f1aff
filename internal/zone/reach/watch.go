// Package reach finds out which zones a daemon is cut off from: it asks daemons of
// other zones, tells neighbours what it found, and acts on what package zone makes of
// it.
package reach

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/zone"
)

const (
	// rosterEvery is how often the list of a zone's daemons is renewed, while nothing
	// is suspected there.
	rosterEvery = time.Second
	// firstRosterEvery is the same while no daemon of some zone is known: one that has
	// just started must not be the last of a zone to find itself cut off, as callers are
	// led there as long as one is ready.
	firstRosterEvery = 100 * time.Millisecond
	// toldDaemons are told of a zone that is suspected, and of one that was found cut
	// off, once each. Those that have no
	// request there find it by that: with as many, hardly one of 300 is left out that
	// hears of it from nobody who found it by itself.
	toldDaemons = 8
	// storeTime bounds a call by which the store is asked whether it answers: one that
	// is slow for all, sixty times as slow as usual, answers within it.
	storeTime = 300 * time.Millisecond
)

// Connections are the requests that this daemon has at back ends.
type Connections interface {
	// Waiting returns what they tell of each zone.
	Waiting(now time.Time) map[string]zone.Waiting
	// Try connects to a back end of a zone and, if that can be done, takes note that the
	// zone can be reached. It returns at once.
	Try(zone string)
	// GiveUpSilent ends those that wait in vain in zones that are cut off.
	GiveUpSilent(now time.Time)
}

// Options give a Watch what it works with.
type Options struct {
	Self         structs.DaemonID
	Zone         string
	Reachability *zone.Reachability
	Connections  Connections
	Transport    peer.Transport
	View         membership.View
	// AskStore calls the store and tells whether it answered, in whichever way.
	AskStore func(ctx context.Context) bool
	// OnCut is told of each zone that is found cut off, and OnIsolated that this daemon
	// is.
	OnCut      func(zone string)
	OnIsolated func()
	Random     *rand.Rand
	Logger     zerolog.Logger
	Metrics    *Metrics
}

// Watch keeps a daemon's belief which zones it is cut off from.
type Watch struct {
	Options
	mutex sync.Mutex
	// rosters are the addresses of the daemons of each zone, and asked those of them
	// that were asked since the zone was last left alone.
	rosters    map[string][]string
	asked      map[string][]string
	rosteredAt time.Time
	// rostersWhole: daemons of all zones are known. It belongs to the watch's goroutine.
	rostersWhole bool
}

// New returns a watch. It hears of members that are suspected from then on.
func New(options Options) *Watch {
	w := &Watch{Options: options, rosters: map[string][]string{}, asked: map[string][]string{}}
	w.View.Subscribe(func(member membership.Member) {
		if member.State == membership.StateSuspect {
			w.Reachability.Suspect(string(member.Daemon.Zone), time.Now())
		}
	})
	return w
}

// Run watches until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	ticker := time.NewTicker(zone.StepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.step(ctx, time.Now())
		}
	}
}

func (w *Watch) step(ctx context.Context, now time.Time) {
	w.renewRosters(now)
	plan := w.Reachability.Step(w.Connections.Waiting(now), now)
	for _, change := range plan.Changes {
		w.act(change)
	}
	for name, count := range plan.Ask {
		w.ask(name, count)
	}
	for _, name := range plan.Suspected {
		w.tell(name, &Suspicion{Zone: name})
	}
	for _, name := range plan.Try {
		w.Connections.Try(name)
	}
	if plan.AskStore {
		go func() {
			asking, cancel := context.WithTimeout(ctx, storeTime)
			defer cancel()
			w.Reachability.StoreAsked(w.AskStore(asking), now, time.Now())
		}()
	}
	w.Connections.GiveUpSilent(now)
}

// act logs a change and passes it on.
func (w *Watch) act(change zone.BeliefChange) {
	e := change.Evidence
	line := w.Logger.Info().Str("zone", change.Zone).Dur("before", change.Lasted).Int("asked", e.Asked).
		Int("silent", e.Silent).Dur("unanswered", e.Unanswered).Dur("unheard", e.Unheard).Bool("told", e.Told)
	switch {
	case change.Zone == "" && change.Cut:
		line.Msg("Cut off from the store and most of the fleet.")
		w.OnIsolated()
	case change.Zone == "":
		line.Msg("No longer cut off.")
	case change.Cut:
		line.Msg("Zone cut off.")
	default:
		line.Msg("Zone reached again.")
	}
	w.Metrics.changed(change)
	if change.Zone != "" && change.Cut {
		w.OnCut(change.Zone)
		w.tell(change.Zone, &Finding{Zone: change.Zone})
	}
}

// renewRosters takes the members of zones in which nothing is suspected.
func (w *Watch) renewRosters(now time.Time) {
	every := rosterEvery
	if !w.rostersWhole {
		every = firstRosterEvery
	}
	if now.Sub(w.rosteredAt) < every {
		return
	}
	w.rosteredAt = now
	found := map[string][]string{}
	for _, member := range w.View.Members() {
		if member.State == membership.StateAlive {
			name := string(member.Daemon.Zone)
			found[name] = append(found[name], member.Daemon.ID.Address())
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for name, addresses := range found {
		if w.Reachability.NoteDaemons(name, len(addresses)) {
			w.rosters[name] = addresses
		}
	}
	w.rostersWhole = len(found) >= w.Reachability.Zones()
	for name := range w.rosters {
		if found[name] == nil && w.Reachability.NoteDaemons(name, 0) {
			delete(w.rosters, name)
		}
	}
}

// ask asks daemons of a zone, those first that were not asked lately.
func (w *Watch) ask(name string, count int) {
	for _, address := range w.choose(name, count) {
		w.Metrics.asked.Inc()
		w.Transport.Send(structs.NewDaemonID(address, structs.AnyIncarnation), &Question{})
	}
}

func (w *Watch) choose(name string, count int) []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var chosen []string
	for range count {
		left := w.unasked(name)
		if len(left) == 0 {
			w.asked[name] = nil
			left = w.unasked(name)
		}
		left = slices.DeleteFunc(left, func(address string) bool { return slices.Contains(chosen, address) })
		if len(left) == 0 {
			break
		}
		address := left[w.Random.IntN(len(left))]
		w.asked[name] = append(w.asked[name], address)
		chosen = append(chosen, address)
	}
	return chosen
}

// unasked are the other daemons of a zone that were not asked in this turn.
func (w *Watch) unasked(name string) []string {
	var left []string
	for _, address := range w.rosters[name] {
		if address != w.Self.Address() && !slices.Contains(w.asked[name], address) {
			left = append(left, address)
		}
	}
	return left
}

// tell sends a message about a zone to some daemons of others.
func (w *Watch) tell(name string, message peer.Message) {
	var others []structs.DaemonID
	for _, member := range w.View.Members() {
		home := string(member.Daemon.Zone)
		if member.Daemon.ID != w.Self && home != name && !w.Reachability.IsCut(home) {
			others = append(others, member.Daemon.ID)
		}
	}
	for range min(toldDaemons, len(others)) {
		i := w.Random.IntN(len(others))
		w.Transport.Send(others[i], message)
		others = slices.Delete(others, i, i+1)
	}
}

// Receive takes a message that arrived; false means it is another part's.
func (w *Watch) Receive(from structs.DaemonID, message peer.Message) bool {
	switch message := message.(type) {
	case *Question:
		w.Transport.Send(from, &Answer{Zone: w.Zone})
	case *Answer:
		w.Reachability.Answered(message.Zone, time.Now())
	case *Finding:
		w.Reachability.Told(message.Zone, 0, time.Now())
	case *Suspicion:
		w.Reachability.Suspect(message.Zone, time.Now())
	default:
		return false
	}
	return true
}
