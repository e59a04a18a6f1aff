package historycost

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestMeasureIsDeterministic(t *testing.T) {
	first, err := Measure(20, 1)
	if err != nil {
		t.Fatal(err)
	}
	second, err := Measure(20, 1)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(first, second); diff != "" {
		t.Errorf("two measurements of one seed differ:\n%s", diff)
	}
	if first.Ratio() <= first.PerTurnRatio() || first.PerTurnRatio() <= 1 {
		t.Errorf("whole %.2f, per turn %.2f: want whole > per turn > 1", first.Ratio(), first.PerTurnRatio())
	}
	if first.EncodedBytes <= first.TextBytes {
		t.Errorf("encoded %d bytes of %d bytes of text", first.EncodedBytes, first.TextBytes)
	}
}
