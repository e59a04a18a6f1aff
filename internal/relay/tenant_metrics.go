package relay

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxTenantLabels bounds the tenants with time series of their own, so that adding
	// tenants does not grow a daemon's memory without limit.
	maxTenantLabels = 256
	// otherTenants is the label under which all further tenants are counted.
	otherTenants = "other"
)

// Outcomes of tenants' requests.
const (
	// tenantAnswered: a back end's answer was passed on.
	tenantAnswered = "answered"
	// tenantLimited: the tenant's own limit was exhausted.
	tenantLimited = "limited"
	// tenantRefused: the system refused the request for any other reason.
	tenantRefused = "refused"
)

// tenantMetrics counts requests by tenant. It is safe for concurrent use.
type tenantMetrics struct {
	requests *prometheus.CounterVec
	mutex    sync.Mutex
	labelled map[string]struct{}
}

func newTenantMetrics() tenantMetrics {
	return tenantMetrics{
		requests: newCounterVec("tenant_requests_total", "Requests of tenants that ended, by tenant and outcome.", "tenant", "outcome"),
		labelled: map[string]struct{}{},
	}
}

// count counts a request that ended. Requests without a tenant are not counted.
func (m *tenantMetrics) count(call *Call, outcome string) {
	if call.Tenant != nil {
		m.requests.WithLabelValues(m.label(call.Tenant.Name), outcome).Inc()
	}
}

// label returns the label under which a tenant is counted.
func (m *tenantMetrics) label(name string) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if _, known := m.labelled[name]; known {
		return name
	}
	if len(m.labelled) >= maxTenantLabels {
		return otherTenants
	}
	m.labelled[name] = struct{}{}
	return name
}

// tenantOutcome returns the outcome of a refusal for its tenant.
func tenantOutcome(reason Reason) string {
	if reason == ReasonQuota {
		return tenantLimited
	}
	return tenantRefused
}
