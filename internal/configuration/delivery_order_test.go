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

// Guards against a fold that depends on the order or number of deliveries, or
// that rolls back.
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
				r.Fatalf("rolled back from %d to %d", before, state.Next)
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

// drawEntries draws a log with duplicate, conflicting and invalid operations.
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

// Stores must converge after network partitions, log failures and restarts. No
// store may roll back (checked by failOnRollback), and the single answer to each
// publication must match the log.
func TestStoresConvergeThroughFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newFleet(t, 4, configuration.Guards{})
		f.append("first", 0, 0)
		f.run(2 * time.Second)
		var answers []*answer
		for step := range rapid.IntRange(5, 30).Draw(r, "steps") {
			if got := f.randomStep(r, step); got != nil {
				answers = append(answers, got)
			}
			f.run(time.Duration(rapid.IntRange(0, 1500).Draw(r, "pause")) * time.Millisecond)
		}
		f.network.HealAll()
		f.log.Down, f.log.ReadLag, f.log.AnswerLossChance = false, 0, 0
		f.run(30 * time.Second)
		truth := configuration.NewState()
		for _, entry := range f.log.Entries(framework.StreamConfiguration) {
			truth.Fold(entry)
		}
		for _, d := range f.daemons {
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

// randomStep causes one random fault, repair or publication.
func (f *fleet) randomStep(r *rapid.T, step int) *answer {
	i := rapid.IntRange(0, len(f.daemons)-1).Draw(r, "daemon")
	zone := fmt.Sprintf("zone-%d", rapid.IntRange(0, 2).Draw(r, "zone"))
	switch rapid.IntRange(0, 8).Draw(r, "step") {
	case 0:
		f.network.Cut(zone, "log")
	case 1:
		f.network.Cut(zone, "")
		f.network.Cut("", zone)
	case 2:
		f.network.HealAll()
	case 3:
		f.log.Down = !f.log.Down
	case 4:
		f.log.ReadLag = time.Duration(rapid.IntRange(0, 5000).Draw(r, "lag")) * time.Millisecond
	case 5:
		f.log.AnswerLossChance = rapid.Float64Range(0, 1).Draw(r, "lost")
	case 6:
		f.start(i, configuration.Guards{})
	default:
		d := f.daemons[i]
		return f.publish(d, fmt.Sprintf("step-%d", step), int(d.store.Revision()), step+1)
	}
	return nil
}

// Incremental validation of a change must agree with validation of the whole
// resulting configuration.
func TestChangeValidationMatchesFullValidation(t *testing.T) {
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

// drawTenants draws an edit of tenants that may have conflicting keys or miss
// required values.
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
