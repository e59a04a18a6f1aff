package gateway

import (
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// retryAfterFull is the retry delay for callers of a daemon that is at a limit.
const retryAfterFull = time.Second

// retryAfterStopping is the retry delay for callers of a daemon that is shutting down;
// by then they reach another daemon, or a new run at the same address.
const retryAfterStopping = time.Second

// refuseWhileStopping refuses a new call while the daemon shuts down. Queries and
// cancellations are served until the end.
func (g *Gateway) refuseWhileStopping() *problem {
	if g.Stopping == nil || !g.Stopping() {
		return nil
	}
	return refusal(structs.ReasonStopping, "", "The daemon is stopping. Ask another.", retryAfterStopping)
}

// admission counts the requests in progress, to refuse those beyond the limits before
// anything is allocated for them.
type admission struct {
	mutex   sync.Mutex
	total   int64
	tenants map[structs.TenantName]int64
}

func (a *admission) enter(tenant structs.TenantName, limits Limits) *problem {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.total >= limits.MaxRequests {
		return refusal(structs.ReasonOverloaded, "", "The daemon has too many requests under way.", retryAfterFull)
	}
	if a.tenants[tenant] >= limits.MaxRequestsPerTenant {
		return refusal(structs.ReasonTenantQuota, "", "The tenant has too many requests under way at this daemon.", retryAfterFull)
	}
	if a.tenants == nil {
		a.tenants = map[structs.TenantName]int64{}
	}
	a.total++
	a.tenants[tenant]++
	return nil
}

func (a *admission) leave(tenant structs.TenantName) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.total--
	a.tenants[tenant]--
	if a.tenants[tenant] == 0 {
		delete(a.tenants, tenant)
	}
}
