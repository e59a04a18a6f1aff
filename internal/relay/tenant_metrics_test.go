package relay

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mintpulley/mintpulley/internal/route"
	"github.com/mintpulley/mintpulley/internal/tenant"
)

func callOfTenant(name string) *Call {
	return &Call{Route: &route.Route{}, Tenant: &tenant.Tenant{Name: name}}
}

// tenantCounts returns the counters by tenant and outcome.
func tenantCounts(t *testing.T, registry *prometheus.Registry) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	counts := map[string]float64{}
	for _, family := range families {
		if family.GetName() != "mintpulley_relay_tenant_requests_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			name := map[string]string{}
			for _, label := range metric.GetLabel() {
				name[label.GetName()] = label.GetValue()
			}
			counts[name["tenant"]+" "+name["outcome"]] = metric.GetCounter().GetValue()
		}
	}
	return counts
}

func TestTenantsAreCountedByOutcome(t *testing.T) {
	registry := prometheus.NewRegistry()
	m := NewMetrics(registry)
	m.answered(callOfTenant("a"), 200)
	m.answered(callOfTenant("a"), 200)
	m.refused(callOfTenant("a"), ReasonQuota)
	m.refused(callOfTenant("b"), ReasonFull)
	m.refused(&Call{Route: &route.Route{}}, ReasonFull) // without a tenant
	want := map[string]float64{"a answered": 2, "a limited": 1, "b refused": 1}
	if diff := cmp.Diff(want, tenantCounts(t, registry)); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestTenantMetricsAreBounded(t *testing.T) {
	registry := prometheus.NewRegistry()
	m := NewMetrics(registry)
	for i := range 3 * maxTenantLabels {
		m.answered(callOfTenant(fmt.Sprint("tenant-", i)), 200)
	}
	counts := tenantCounts(t, registry)
	if len(counts) != maxTenantLabels+1 {
		t.Errorf("%d series, want %d", len(counts), maxTenantLabels+1)
	}
	if got := counts[otherTenants+" "+tenantAnswered]; got != 2*maxTenantLabels {
		t.Errorf("%v requests are counted under %q, want %d", got, otherTenants, 2*maxTenantLabels)
	}
}
