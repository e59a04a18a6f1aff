package scenario

import (
	"strings"
	"time"

	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
	"github.com/mintpulley/mintpulley/internal/simulation/workload"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// addedPrefix begins the identifiers of programs that do not count.
	addedPrefix = "added"
	// stormPrefix begins the identifiers of a storm's programs, which count.
	stormPrefix = "storm"
	// stormFactor is how many times the offered rate arrives on top in a storm.
	stormFactor = 5
	// loopingFactor is how many times the offered rate a looping tenant starts
	// in programs, each of which repeats its calls until it is refused.
	loopingFactor = 1
)

// GoodputCourse is something that goes wrong while goodput is measured.
type GoodputCourse struct {
	Name string
	// Summary says in one line what happens.
	Summary string
	// tenants are those whose programs are counted; empty means all.
	tenants []structs.TenantName
	// start schedules what goes wrong; nil leaves the fleet alone.
	start func(r *Run, rate float64, times GoodputTimes, end time.Duration)
}

// GoodputCourses returns all courses, the undisturbed one first.
func GoodputCourses() []*GoodputCourse {
	return []*GoodputCourse{{
		Name:    "steady",
		Summary: "Programs arrive at the rate offered; refused callers come back when told.",
	}, {
		Name:    "retry_storm",
		Summary: "Before the window a burst arrives whose callers, and all others, come back at once and never give up.",
		start:   retryStorm,
	}, {
		Name:    "zone_lost",
		Summary: "Before the window one of three zones dies, daemon and engine, and stays away.",
		start:   zoneLost,
	}, {
		Name:    "looping_tenant",
		Summary: "One tenant starts as many programs as all others, which repeat calls without a pause.",
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

func (c *GoodputCourse) counted() []structs.TenantName {
	if len(c.tenants) == 0 {
		return tenants
	}
	return c.tenants
}

// added tells whether a program is the trouble itself and does not count.
func (c *GoodputCourse) added(plan *workload.Plan) bool {
	return strings.HasPrefix(string(plan.Key.Program), addedPrefix)
}

func (c *GoodputCourse) begin(r *Run, rate float64, times GoodputTimes, end time.Duration) {
	if c.start != nil {
		c.start(r, rate, times, end)
	}
}

// retryStorm is the trigger of a metastable failure: it is over when counting
// begins, and only a fleet that sheds load recovers while callers press on.
func retryStorm(r *Run, rate float64, times GoodputTimes, end time.Duration) {
	r.Callers.Impatient = true
	burst := end - times.Window - times.WarmUp/2
	r.Fault("retry_storm", burst.String())
	r.arrive(arrivals{rate: stormFactor * rate, end: burst, tenants: tenants, shape: r.shape, prefix: stormPrefix})
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
	r.arrive(arrivals{rate: loopingFactor * rate, end: end, tenants: tenants[:1], shape: shape, prefix: addedPrefix})
}
