package gateway

import (
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// retryAfterFull is when a caller may come back to a daemon that is full.
const retryAfterFull = time.Second

// retryElsewhere is when a caller may come back to a daemon that stops; by then
// it reaches another, or the new run at the same address.
const retryAfterStopping = time.Second

// refuseWhileStopping refuses a new call at a daemon that stops. Questions and
// cancellations are served to the end.
func (g *Gateway) refuseWhileStopping() *problem {
	if g.Stopping == nil || !g.Stopping() {
		return nil
	}
	return refusal(structs.ReasonStopping, "", "The daemon is stopping. Ask another.", retryAfterStopping)
}

// admission counts the requests under way, so that a flood of them, or one
// tenant's, is turned away before anything is kept for it.
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
