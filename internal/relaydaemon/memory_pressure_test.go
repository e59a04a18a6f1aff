package relaydaemon

import (
	"testing"

	"github.com/rs/zerolog"
)

func TestMemoryIsTightUntilItHasEased(t *testing.T) {
	p := newMemoryPressure(100*megabyte, zerolog.Nop())
	for _, step := range []struct {
		inUse int64
		want  bool
	}{{10, false}, {74, false}, {76, true}, {70, true}, {66, true}, {64, false}, {74, false}} {
		p.note(step.inUse * megabyte)
		if got := p.isTight.Load(); got != step.want {
			t.Errorf("%d MB in use: tight %v, want %v", step.inUse, got, step.want)
		}
	}
}
