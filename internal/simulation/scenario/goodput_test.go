package scenario

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestOverloadKeepsGoodput requires that goodput at three times the peak load
// stays close to that at the peak.
func TestOverloadKeepsGoodput(t *testing.T) {
	times := GoodputTimes{WarmUp: 15 * time.Second, Window: 15 * time.Second}
	points := Goodput(goodputOptions(t, "steady", times), []float64{11, 33})
	peak, overload := points[0], points[1]
	if peak.Completed < 5 {
		t.Fatalf("at the peak %.2f programs a second are completed", peak.Completed)
	}
	if overload.Completed < 0.9*peak.Completed {
		t.Errorf("at three times the peak %.2f of %.2f programs a second are completed", overload.Completed, peak.Completed)
	}
	if peak.Violations+overload.Violations > 0 {
		t.Errorf("violations: %+v", points)
	}
}

// TestLoopingTenantLeavesOthersTheirShare requires that two tenants whose load
// is below their share keep their goodput beside a third whose programs loop.
func TestLoopingTenantLeavesOthersTheirShare(t *testing.T) {
	times := GoodputTimes{WarmUp: 40 * time.Second, Window: 40 * time.Second}
	steady := Goodput(goodputOptions(t, "steady", times), []float64{6})[0]
	looping := Goodput(goodputOptions(t, "looping_tenant", times), []float64{6})[0]
	if looping.Completed < 0.9*steady.Completed {
		t.Errorf("beside a looping tenant %.2f programs a second are completed, without it %.2f", looping.Completed, steady.Completed)
	}
	if looping.Violations > 0 {
		t.Errorf("violations: %+v", looping)
	}
}

func goodputOptions(t *testing.T, course string, times GoodputTimes) GoodputOptions {
	t.Helper()
	found, known := FindGoodputCourse(course)
	if !known {
		t.Fatalf("no course %q", course)
	}
	return GoodputOptions{Seed: 1, Course: found, Times: times, Logger: zerolog.Nop()}
}
