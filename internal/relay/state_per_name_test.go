package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/route"
)

// Operators may rename routes and services any number of times, so state that is kept by
// name must be bounded.
func TestStatePerNameIsBounded(t *testing.T) {
	var serving servingTimes
	var offered offerCounters
	var split splits
	var full fullServices
	parts := []route.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 2}}
	for i := range 3 * maxRememberedNames {
		name := fmt.Sprint("name-", i)
		serving.observe(name, servingTime{untilFirst: time.Second, total: 2 * time.Second})
		offered.add(name, true)
		split.choose(&route.Route{Name: name, Services: parts})
		full.noteFull(name, time.Now())
	}
	for what, size := range map[string]int{
		"serving times": len(serving.routes), "offers": len(offered.services), "splits": len(split.routes), "full services": len(full.services),
	} {
		if size > maxRememberedNames {
			t.Errorf("%s: state of %d names is kept", what, size)
		}
	}
	last := fmt.Sprint("name-", 3*maxRememberedNames-1)
	if serving.average(last).untilFirst != time.Second || offered.get(last).taken != 1 {
		t.Error("the newest entry is missing")
	}
}
