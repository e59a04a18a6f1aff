package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/route"
)

// TestWhatIsRememberedByNameIsBounded: operators rename routes and services all day long.
func TestWhatIsRememberedByNameIsBounded(t *testing.T) {
	var serving servingTimes
	var offered offerTally
	var split splits
	var full fullServices
	parts := []route.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 2}}
	for i := range 3 * namesLimit {
		name := fmt.Sprint("name-", i)
		serving.note(name, servingTime{first: time.Second, whole: 2 * time.Second})
		offered.note(name, true)
		split.choose(&route.Route{Name: name, Services: parts})
		full.note(name, time.Now())
	}
	for what, size := range map[string]int{
		"serving times": len(serving.routes), "offers": len(offered.services), "splits": len(split.routes), "full services": len(full.services),
	} {
		if size > namesLimit {
			t.Errorf("%s of %d names are remembered", what, size)
		}
	}
	last := fmt.Sprint("name-", 3*namesLimit-1)
	if serving.of(last).first != time.Second || offered.of(last).taken != 1 {
		t.Error("what came last is forgotten")
	}
}
