package scenario

import (
	"strings"
	"time"

	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
	"github.com/mintpulley/mintpulley/internal/simulation/workload"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// excludedPrefix is the identifier prefix of programs that are not counted.
	excludedPrefix = "added"
	// stormPrefix is the identifier prefix of a storm's programs, which are
	// counted.
	stormPrefix = "storm"
	// stormFactor is the additional load of a storm, as a multiple of the
	// offered rate.
	stormFactor = 5
	// loopingFactor is the rate of looping programs, as a multiple of the
	// offered rate. Each repeats its calls until it is refused.
	loopingFactor = 1
)

// GoodputCourse is a disturbance during which goodput is measured.
type GoodputCourse struct {
	Name string
	// Summary describes the disturbance in one line.
	Summary string
	// tenants are the tenants whose programs are counted; empty means all.
	tenants []structs.TenantName
	// start schedules the disturbance; nil means none.
	start func(r *Run, rate float64, times GoodputTimes, end time.Duration)
}

// GoodputCourses returns all courses, the undisturbed one first.
func GoodputCourses() []*GoodputCourse {
	return []*GoodputCourse{{
		Name:    "steady",
		Summary: "Programs arrive at the offered rate; refused callers retry after the delay they are given.",
	}, {
		Name:    "retry_storm",
		Summary: "Before the window a burst arrives; all callers retry immediately and without a limit.",
		start:   retryStorm,
	}, {
		Name:    "zone_lost",
		Summary: "Before the window one of three zones is lost with its daemon and engine, and stays down.",
		start:   zoneLost,
	}, {
		Name:    "looping_tenant",
		Summary: "One tenant starts as many programs as all others together; each repeats its calls without a pause.",
		tenants: tenants[1:],
		start:   loopingTenant,
	}}
}

// FindGoodputCourse returns a course by name.
func FindGoodputCourse(name string) (*GoodputCourse, bool) {
	for _, course := range GoodputCourses() {
		if course.Name == name {
			return course, true
		}
	}
	return nil, false
}

func (c *GoodputCourse) countedTenants() []structs.TenantName {
	if len(c.tenants) == 0 {
		return tenants
	}
	return c.tenants
}

// isExcluded reports whether a program is part of the disturbance and not
// counted.
func (c *GoodputCourse) isExcluded(plan *workload.Plan) bool {
	return strings.HasPrefix(string(plan.Key.Program), excludedPrefix)
}

func (c *GoodputCourse) schedule(r *Run, rate float64, times GoodputTimes, end time.Duration) {
	if c.start != nil {
		c.start(r, rate, times, end)
	}
}

// retryStorm triggers a metastable failure: the burst is over before counting
// begins, and only a fleet that sheds load recovers while callers keep
// retrying.
func retryStorm(r *Run, rate float64, times GoodputTimes, end time.Duration) {
	r.Callers.Impatient = true
	burst := end - times.Window - times.WarmUp/2
	r.Fault("retry_storm", burst.String())
	r.scheduleArrivals(arrivals{rate: stormFactor * rate, end: burst, tenants: tenants, shape: r.shape, prefix: stormPrefix})
}

func zoneLost(r *Run, _ float64, times GoodputTimes, _ time.Duration) {
	r.After(times.WarmUp/2, func() {
		zone := cluster.Zone(0)
		r.Fault("zone_lost", string(zone))
		for _, daemon := range r.Cluster.Daemons {
			if daemon.Zone == zone {
				daemon.Crash()
				r.Cluster.RemoveMachine(daemon.Address)
			}
		}
		for _, engine := range r.Cluster.EngineList {
			if engine.Place.Zone == zone {
				engine.Crash()
				r.Cluster.RemoveMachine(string(engine.ID()))
			}
		}
	})
}

func loopingTenant(r *Run, rate float64, _ GoodputTimes, end time.Duration) {
	shape := r.shape
	shape.Looping, shape.Pause = 1, 0
	r.Fault("looping_tenant", string(tenants[0]))
	r.scheduleArrivals(arrivals{rate: loopingFactor * rate, end: end, tenants: tenants[:1], shape: shape, prefix: excludedPrefix})
}
