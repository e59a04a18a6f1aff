package weights

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestReadersQueueForTheRate(t *testing.T) {
	s := New(1000)
	s.reserve("a", 500)
	s.reserve("b", 250)
	if err := s.Faults.Set(Faults{BytesPerSecond: 100}); err != nil {
		t.Fatal(err)
	}
	s.reserve("c", 100)
	reads := s.Reads()
	took := []time.Duration{reads[0].Took, reads[1].Took, reads[2].Took}
	if diff := cmp.Diff([]time.Duration{time.Second / 2, time.Second / 4, time.Second}, took); diff != "" {
		t.Error(diff)
	}
	for i := 1; i < len(reads); i++ {
		if want := reads[i-1].StartedAt.Add(reads[i-1].Took); !reads[i].StartedAt.Equal(want) {
			t.Errorf("read %d starts at %v, want %v", i, reads[i].StartedAt, want)
		}
	}
}
