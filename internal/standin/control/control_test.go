package control

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestFaultsAreValidatedAndReplaced(t *testing.T) {
	var faults Faults[ServiceFaults]
	var seen []bool
	faults.OnChange(func(f ServiceFaults) { seen = append(seen, f.Down) })
	put := func(body string) int {
		answer := httptest.NewRecorder()
		faults.ServeHTTP(answer, httptest.NewRequest(http.MethodPut, PathFaults, strings.NewReader(body)))
		return answer.Code
	}
	statuses := []int{
		put(`{"down":true,"delay":"20ms"}`),
		put(`{"hang":1.5}`),
		put(`{"lose_answer":1}`),
		put(`{"delay":"fast"}`),
		put(`{"hang":0.5}`),
	}
	if diff := cmp.Diff([]int{200, 400, 400, 400, 200}, statuses); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(ServiceFaults{Hang: 0.5}, faults.Get()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]bool{false, true, false}, seen); diff != "" {
		t.Error(diff)
	}
}

func TestDurationIsText(t *testing.T) {
	data, err := json.Marshal(ServiceFaults{Delay: Duration(1500 * time.Millisecond)})
	if err != nil || string(data) != `{"delay":"1.5s"}` {
		t.Errorf("%s, %v", data, err)
	}
}

func TestChanceDependsOnTheSeed(t *testing.T) {
	draw := func(seed uint64) []bool {
		chance := NewChance(seed)
		var drawn []bool
		for range 64 {
			drawn = append(drawn, chance.Happens(0.5))
		}
		return drawn
	}
	if !cmp.Equal(draw(1), draw(1)) || cmp.Equal(draw(1), draw(2)) {
		t.Error("draws do not depend on the seed alone")
	}
}
