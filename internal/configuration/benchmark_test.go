package configuration

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Size of a production configuration.
const (
	benchmarkTenants   = 2100
	benchmarkModels    = 18
	benchmarkTemplates = 40
)

func benchmarkTenant(number int) structs.Tenant {
	return structs.Tenant{
		KeyHashes:     []string{fmt.Sprintf("%x", sha256.Sum256(fmt.Append(nil, number)))},
		Share:         1 + number%5,
		BudgetPerHour: 20_000_000,
		Programs:      50,
		Templates: map[structs.TemplateName]structs.TenantTemplate{
			structs.TemplateName(fmt.Sprintf("template-%d", number%benchmarkTemplates)): {Parameters: map[string]string{
				"customer": fmt.Sprintf("Customer number %d", number), "supplier": fmt.Sprintf("Supplier %d", number%50), "departure": "03:40",
			}},
		},
	}
}

// stateWithTenants returns a state with a production-size configuration.
func stateWithTenants(b *testing.B, tenants int) *State {
	b.Helper()
	patch := structs.Patch{
		Models:    structs.Edit[structs.ModelName, structs.Model]{Set: map[structs.ModelName]structs.Model{}},
		Templates: structs.Edit[structs.TemplateName, structs.Template]{Set: map[structs.TemplateName]structs.Template{}},
		Tenants:   structs.Edit[structs.TenantName, structs.Tenant]{Set: map[structs.TenantName]structs.Tenant{}},
	}
	for i := range benchmarkModels {
		patch.Models.Set[structs.ModelName(fmt.Sprintf("model-%d", i))] = structs.Model{PromptCost: 1, CompletionCost: 2, ContextTokens: 32768}
	}
	for i := range benchmarkTemplates {
		patch.Templates.Set[structs.TemplateName(fmt.Sprintf("template-%d", i))] = structs.Template{
			Models:       []structs.ModelName{structs.ModelName(fmt.Sprintf("model-%d", i%benchmarkModels))},
			Parameters:   []string{"customer", "supplier", "departure"},
			SystemPrompt: "You take orders for {{customer}} from {{supplier}}, which leave at {{departure}}. Repeat quantity, kind and time before you place an order.",
			Budget:       60_000, Priority: 5,
		}
	}
	for i := range tenants {
		patch.Tenants.Set[structs.TenantName(fmt.Sprintf("tenant-%d", i))] = benchmarkTenant(i)
	}
	state := NewState()
	if verdict, _ := state.Fold(encoded(b, 0, "first", 0, patch)); !verdict.Accepted {
		b.Fatalf("the first change was refused: %+v", verdict)
	}
	return state
}

// tenantChange returns a log entry that changes one of many tenants.
func tenantChange(b *testing.B, offset, base, tenants int) framework.LogEntry {
	name := structs.TenantName(fmt.Sprintf("tenant-%d", base%tenants))
	tenant := benchmarkTenant(base % tenants)
	tenant.Programs = 100 + base
	return encoded(b, offset, fmt.Sprintf("change-%d", base), base, structs.Patch{
		Tenants: structs.Edit[structs.TenantName, structs.Tenant]{Set: map[structs.TenantName]structs.Tenant{name: tenant}},
	})
}

// BenchmarkFold measures the fold of a change of one tenant among many, and the
// size of its entry.
func BenchmarkFold(b *testing.B) {
	for _, tenants := range []int{525, 1050, benchmarkTenants} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			state := stateWithTenants(b, tenants)
			offset, bytes := 1, 0
			b.ReportAllocs()
			for b.Loop() {
				entry := tenantChange(b, offset, offset, tenants)
				bytes += len(entry.Payload)
				if verdict, _ := state.Fold(entry); !verdict.Accepted {
					b.Fatalf("refused: %+v", verdict)
				}
				offset++
			}
			b.ReportMetric(float64(bytes)/float64(offset-1), "entry-bytes")
		})
	}
}

// BenchmarkMemory measures the heap of a state with a full window of verdicts.
func BenchmarkMemory(b *testing.B) {
	for _, tenants := range []int{525, 1050, benchmarkTenants} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				state := stateWithTenants(b, tenants)
				for offset := 1; offset <= VerdictWindow; offset++ {
					state.Fold(tenantChange(b, offset, offset, tenants))
				}
				b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
				runtime.KeepAlive(state)
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return int64(statistics.HeapAlloc)
}

// BenchmarkSnapshot measures encoding and decoding of a snapshot with a full
// window of verdicts.
func BenchmarkSnapshot(b *testing.B) {
	state := stateWithTenants(b, benchmarkTenants)
	for offset := 1; offset <= VerdictWindow; offset++ {
		state.Fold(tenantChange(b, offset, offset, benchmarkTenants))
	}
	data, err := EncodeSnapshot(state)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := EncodeSnapshot(state); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data)), "snapshot-bytes")
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := DecodeSnapshot(data, state.Digest()); err != nil {
				b.Fatal(err)
			}
		}
	})
}
