package configuration_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Whatever order entries come in, as often as they come: states that have got
// all of them agree, and none ever goes back.
func TestAnyDeliveryOrderConverges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		entries := drawEntries(t, r)
		want := configuration.NewState()
		for _, entry := range entries {
			want.Fold(entry)
		}
		state := configuration.NewState()
		deliveries := rapid.SliceOfN(rapid.IntRange(0, len(entries)-1), 0, 60).Draw(r, "deliveries")
		for _, at := range deliveries {
			before := state.Next
			state.Fold(entries[at])
			if state.Next < before {
				r.Fatalf("went back from %d to %d", before, state.Next)
			}
			if verdict, known := want.Verdict(state.Next - 1); known && verdict.Digest != state.Digest() {
				r.Fatalf("at offset %d the digest is %x, want %x", state.Next, state.Digest(), verdict.Digest)
			}
		}
		for _, entry := range entries {
			state.Fold(entry)
		}
		if state.Digest() != want.Digest() {
			r.Fatalf("the digest is %x, want %x", state.Digest(), want.Digest())
		}
	})
}

// drawEntries draws a log in which operations repeat, race and break.
func drawEntries(t *testing.T, r *rapid.T) []framework.LogEntry {
	count := rapid.IntRange(1, 20).Draw(r, "entries")
	entries := make([]framework.LogEntry, 0, count)
	for i := range count {
		operation := fmt.Sprintf("op-%d", rapid.IntRange(0, count).Draw(r, "operation"))
		base := rapid.IntRange(0, 4).Draw(r, "base")
		share := rapid.IntRange(0, 3).Draw(r, "share")
		patch := structs.Patch{Tenants: configuration.TenantEdit("shop-1", share)}
		if base == 0 {
			patch = configuration.FirstPatch()
		}
		entries = append(entries, configuration.Encoded(t, i, operation, base, patch))
	}
	return entries
}

// Stores that go through cuts, a log that is down, lags or loses answers, and
// restarts, agree in the end; world.watch sees that none goes back, and that
// each publication gets one answer which the log bears out.
func TestStoresConvergeThroughFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newWorld(t, 4, configuration.Guards{})
		w.append("first", 0, 0)
		w.run(2 * time.Second)
		var answers []*answer
		for step := range rapid.IntRange(5, 30).Draw(r, "steps") {
			if got := w.randomStep(r, step); got != nil {
				answers = append(answers, got)
			}
			w.run(time.Duration(rapid.IntRange(0, 1500).Draw(r, "pause")) * time.Millisecond)
		}
		w.network.HealAll()
		w.log.Down, w.log.ReadLag, w.log.AnswerLossChance = false, 0, 0
		w.run(30 * time.Second)
		truth := configuration.NewState()
		for _, entry := range w.log.Entries(framework.StreamConfiguration) {
			truth.Fold(entry)
		}
		for _, d := range w.daemons {
			if status := d.store.Status(); !status.Serving || status.Digest != truth.Digest() || status.Divergences > 0 {
				r.Fatalf("%s: %+v, want offset %d digest %x", d.id, status, truth.Next, truth.Digest())
			}
		}
		for _, got := range answers {
			verdict, known := truth.OperationVerdict(got.verdict.OperationID)
			if got.count > 1 || (got.err == nil && got.count == 1 && (!known || !verdict.Accepted)) {
				r.Fatalf("publication answered %+v, the log says %+v", got, verdict)
			}
		}
	})
}

// randomStep brings about one fault, repair or publication.
func (w *world) randomStep(r *rapid.T, step int) *answer {
	i := rapid.IntRange(0, len(w.daemons)-1).Draw(r, "daemon")
	zone := fmt.Sprintf("zone-%d", rapid.IntRange(0, 2).Draw(r, "zone"))
	switch rapid.IntRange(0, 8).Draw(r, "step") {
	case 0:
		w.network.Cut(zone, "log")
	case 1:
		w.network.Cut(zone, "")
		w.network.Cut("", zone)
	case 2:
		w.network.HealAll()
	case 3:
		w.log.Down = !w.log.Down
	case 4:
		w.log.ReadLag = time.Duration(rapid.IntRange(0, 5000).Draw(r, "lag")) * time.Millisecond
	case 5:
		w.log.AnswerLossChance = rapid.Float64Range(0, 1).Draw(r, "lost")
	case 6:
		w.start(i, configuration.Guards{})
	default:
		d := w.daemons[i]
		return w.publish(d, fmt.Sprintf("step-%d", step), int(d.store.Revision()), step+1)
	}
	return nil
}

// The check of a change alone comes to the same as a check of all that results.
func TestChangesAreCheckedAsTheWhole(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		state := configuration.NewState()
		state.Fold(configuration.Encoded(t, 0, "first", 0, configuration.FirstPatch()))
		for step := 1; step < 12; step++ {
			patch := drawTenants(r)
			next, patchProblems := configuration.ApplyPatch(state.Configuration, &patch)
			good := len(patchProblems) == 0 && len(configuration.Validate(next)) == 0
			verdict, _ := state.Fold(configuration.Encoded(t, step, fmt.Sprintf("op-%d", step), int(state.Revision()), patch))
			if verdict.Accepted != good {
				r.Fatalf("accepted %t, want %t: %+v", verdict.Accepted, good, verdict)
			}
		}
	})
}

// drawTenants draws a change of tenants that may share keys and miss parts.
func drawTenants(r *rapid.T) structs.Patch {
	names := []structs.TenantName{"shop-1", "shop-2", "shop-3"}
	patch := structs.Patch{Tenants: structs.Edit[structs.TenantName, structs.Tenant]{Set: map[structs.TenantName]structs.Tenant{}}}
	for _, name := range names {
		switch rapid.IntRange(0, 3).Draw(r, "edit") {
		case 0:
			patch.Tenants.Remove = append(patch.Tenants.Remove, name)
		case 1:
			tenant := configuration.TenantEdit(name, rapid.IntRange(0, 9).Draw(r, "share")).Set[name]
			tenant.KeyHashes = []string{fmt.Sprintf("%064x", rapid.IntRange(1, 4).Draw(r, "key"))}
			patch.Tenants.Set[name] = tenant
		}
	}
	return patch
}
