package configuration

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// keyHash returns a valid key hash that is unique per number.
func keyHash(number int) string { return fmt.Sprintf("%064x", number+1) }

// firstPatch sets one model, one template and one tenant.
func firstPatch() structs.Patch {
	return structs.Patch{
		Models: structs.Edit[structs.ModelName, structs.Model]{Set: map[structs.ModelName]structs.Model{
			"small": {PromptCost: 1, CompletionCost: 2, ContextTokens: 4096},
		}},
		Templates: structs.Edit[structs.TemplateName, structs.Template]{Set: map[structs.TemplateName]structs.Template{
			"order": {Models: []structs.ModelName{"small"}, Parameters: []string{"shop"}, SystemPrompt: "Orders for {{shop}}.", Budget: 100},
		}},
		Tenants: tenantEdit("shop-1", 1),
	}
}

func tenantEdit(name structs.TenantName, share int) structs.Edit[structs.TenantName, structs.Tenant] {
	number := int(name[len(name)-1])
	return structs.Edit[structs.TenantName, structs.Tenant]{Set: map[structs.TenantName]structs.Tenant{
		name: {
			KeyHashes: []string{keyHash(number)},
			Share:     share,
			Templates: map[structs.TemplateName]structs.TenantTemplate{"order": {Parameters: map[string]string{"shop": string(name)}}},
		},
	}}
}

func encoded(t testing.TB, offset int, operation string, base int, patch structs.Patch) framework.LogEntry {
	t.Helper()
	change := structs.Change{OperationID: operation, Operator: "tester", Base: structs.Revision(base), Patch: patch}
	payload, err := EncodeEntry(Entry{Change: &change})
	if err != nil {
		t.Fatal(err)
	}
	return framework.LogEntry{Offset: structs.LogOffset(offset), OperationID: operation, Payload: payload}
}

func TestFoldVerdicts(t *testing.T) {
	invalid := tenantEdit("shop-2", 0)
	entries := []framework.LogEntry{
		encoded(t, 0, "first", 0, firstPatch()),
		encoded(t, 1, "racer-a", 1, structs.Patch{Tenants: tenantEdit("shop-1", 2)}),
		encoded(t, 2, "racer-b", 1, structs.Patch{Tenants: tenantEdit("shop-1", 3)}),
		encoded(t, 3, "racer-a", 1, structs.Patch{Tenants: tenantEdit("shop-1", 2)}),
		encoded(t, 4, "broken", 2, structs.Patch{Tenants: invalid}),
		{Offset: 5, Payload: []byte(`{"change":{"operation_id":"x","surprise":1}}`)},
		encoded(t, 6, "racer-b-again", 2, structs.Patch{Tenants: tenantEdit("shop-1", 3)}),
		// Based on the revision in force, but its operation was refused before.
		encoded(t, 7, "racer-b", 3, structs.Patch{Tenants: tenantEdit("shop-1", 9)}),
	}
	state := NewState()
	type outcome struct {
		Reason   VerdictReason
		Revision structs.Revision
	}
	var got []outcome
	for _, entry := range entries {
		verdict, folded := state.Fold(entry)
		if !folded {
			t.Fatalf("entry %d was not folded", entry.Offset)
		}
		got = append(got, outcome{verdict.Reason, verdict.Revision})
	}
	want := []outcome{
		{"", 1}, {"", 2}, {VerdictStaleBase, 2}, {VerdictDuplicate, 2}, {VerdictInvalid, 2}, {VerdictMalformed, 2}, {"", 3}, {VerdictDuplicate, 3},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
	if share := state.Configuration.Tenants["shop-1"].Share; share != 3 {
		t.Errorf("share is %d, want 3", share)
	}
	if state.contentHash != contentHashOf(state.Configuration) {
		t.Error("the incremental content hash differs from the recomputed one")
	}
}

func TestFoldIgnoresOtherOffsets(t *testing.T) {
	state := NewState()
	state.Fold(encoded(t, 0, "first", 0, firstPatch()))
	digest := state.Digest()
	for _, offset := range []int{0, 2, 7} {
		if _, folded := state.Fold(encoded(t, offset, "later", 1, structs.Patch{Tenants: tenantEdit("shop-1", 2)})); folded {
			t.Errorf("an entry at offset %d was folded, but the next offset is 1", offset)
		}
	}
	if state.Digest() != digest || state.Next != 1 {
		t.Error("an ignored entry changed the state")
	}
}

func TestVerdictsBeyondWindowAreForgotten(t *testing.T) {
	state := NewState()
	state.Fold(encoded(t, 0, "first", 0, firstPatch()))
	for i := 1; i < VerdictWindow+50; i++ {
		state.Fold(encoded(t, i, fmt.Sprintf("op-%d", i), i, structs.Patch{Tenants: tenantEdit("shop-1", i)}))
	}
	if len(state.Verdicts) != VerdictWindow || len(state.operations) != VerdictWindow {
		t.Errorf("state has %d verdicts and %d operations, want %d", len(state.Verdicts), len(state.operations), VerdictWindow)
	}
	if _, known := state.OperationVerdict("op-10"); known {
		t.Error("an operation beyond the window is still known")
	}
	if verdict, known := state.OperationVerdict("op-1060"); !known || verdict.Offset != 1060 {
		t.Errorf("the verdict on a recent operation is %+v, %v", verdict, known)
	}
}

func TestSnapshotRoundTrip(t *testing.T) {
	state := NewState()
	state.Fold(encoded(t, 0, "first", 0, firstPatch()))
	state.Fold(encoded(t, 1, "second", 1, structs.Patch{Tenants: tenantEdit("shop-1", 2)}))
	data, err := EncodeSnapshot(state)
	if err != nil {
		t.Fatal(err)
	}
	restored, err := DecodeSnapshot(data, state.Digest())
	if err != nil {
		t.Fatal(err)
	}
	next := encoded(t, 2, "second", 2, structs.Patch{Tenants: tenantEdit("shop-1", 7)})
	want, _ := state.Fold(next)
	got, _ := restored.Fold(next)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("verdict of the restored state (-want +got):\n%s", diff)
	}
	if _, err := DecodeSnapshot(data, state.Digest()+1); err == nil {
		t.Error("a snapshot with another digest was accepted")
	}
}

func TestValidateReportsEveryProblem(t *testing.T) {
	patch := firstPatch()
	priority := 12
	patch.Templates.Set["order"] = structs.Template{Models: []structs.ModelName{"small", "absent", "small"}, SystemPrompt: "For {{shop}}", Parameters: []string{"town"}, Priority: 10, Adapters: map[structs.ModelName]structs.AdapterName{"other": "two words"}}
	patch.Tenants.Set["shop-2"] = structs.Tenant{
		KeyHashes: []string{keyHash(int('1')), "beef"},
		Templates: map[structs.TemplateName]structs.TenantTemplate{"order": {Parameters: map[string]string{"extra": "x"}, Priority: &priority}, "none": {}},
	}
	patch.Fleet = &structs.FleetPolicy{CacheWeight: 2, WeightReaders: -1, EngineRole: "idle", EngineRoles: map[structs.EngineID]structs.EngineRole{"10.1.0.1:8000": "none"}}
	configuration, _ := ApplyPatch(nil, &patch)
	var got []string
	for _, problem := range Validate(configuration) {
		got = append(got, problem.String())
	}
	want := []string{
		`templates.order.models[1]: there is no model "absent"`,
		`templates.order.models[2]: "small" is listed twice`,
		`templates.order.parameters[0]: "town" does not occur in the system prompt`,
		`templates.order.system_prompt: {{shop}} is not among the parameters`,
		`templates.order.budget: is 0, want 1 to 1000000000000000`,
		`templates.order.priority: is 10, want 0 to 9`,
		`templates.order.adapters.other: the template has no model "other"`,
		`templates.order.adapters.other: is not a name: want at most 128 of A-Z a-z 0-9 . _ - , the first a letter or digit`,
		`tenants.shop-1.templates.order.parameters: "town" is missing`,
		`tenants.shop-1.templates.order.parameters.shop: the template has no such parameter`,
		`tenants.shop-2.key_hashes[0]: is a key of tenant "shop-1" already`,
		`tenants.shop-2.key_hashes[1]: is not a SHA-256 digest in 64 lower-case hexadecimal digits`,
		`tenants.shop-2.templates.none: there is no template "none"`,
		`tenants.shop-2.templates.order.parameters: "town" is missing`,
		`tenants.shop-2.templates.order.parameters.extra: the template has no such parameter`,
		`tenants.shop-2.templates.order.priority: is 12, want 0 to 9`,
		`tenants.shop-2.share: is 0, want 1 to 1000000`,
		`fleet.cache_weight: is 2, want 0 to 1`,
		`fleet.weight_readers: is -1, want 0 to 100000`,
		`fleet.engine_role: is "idle", want prefill, decode or both`,
		`fleet.engine_roles.10.1.0.1:8000: is "none", want prefill, decode or both`,
	}
	if diff := cmp.Diff(strings.Join(want, "\n"), strings.Join(got, "\n")); diff != "" {
		t.Errorf("problems (-want +got):\n%s", diff)
	}
}
