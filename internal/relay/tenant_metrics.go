package relay

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// tenantLimit bounds the tenants that have figures of their own, so that operators
	// who add tenants all the time do not make a daemon's memory grow: three counters
	// each take some 200 bytes.
	tenantLimit = 256
	// otherTenants is what all further ones are counted under.
	otherTenants = "other"
)

// Outcomes of tenants' requests.
const (
	// tenantAnswered: a back end's answer was passed on.
	tenantAnswered = "answered"
	// tenantLimited: the tenant's own limit had no room.
	tenantLimited = "limited"
	// tenantRefused: the system ended the request for any other reason.
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
		requests: counters("tenant_requests_total", "Requests of tenants that ended, by tenant and outcome.", "tenant", "outcome"),
		labelled: map[string]struct{}{},
	}
}

// count takes a request that ended. Those of no tenant are left out.
func (m *tenantMetrics) count(call *Call, outcome string) {
	if call.Tenant != nil {
		m.requests.WithLabelValues(m.label(call.Tenant.Name), outcome).Inc()
	}
}

// label returns what a tenant is counted under.
func (m *tenantMetrics) label(name string) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if _, known := m.labelled[name]; known {
		return name
	}
	if len(m.labelled) >= tenantLimit {
		return otherTenants
	}
	m.labelled[name] = struct{}{}
	return name
}

// outcomeOf is what a refusal is to its tenant.
func outcomeOf(reason Reason) string {
	if reason == ReasonQuota {
		return tenantLimited
	}
	return tenantRefused
}
