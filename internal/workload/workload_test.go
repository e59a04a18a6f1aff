package workload

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"
)

func TestTraceSurvivesWriteAndRead(t *testing.T) {
	for _, shape := range Shapes() {
		trace := shape.Generate(5, 4, 60)
		if len(trace.Programs) < 100 {
			t.Fatalf("%s: only %d programs", shape.Name, len(trace.Programs))
		}
		var saved bytes.Buffer
		if err := trace.Write(&saved); err != nil {
			t.Fatal(err)
		}
		read, err := Read(&saved)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(trace, read); diff != "" {
			t.Errorf("%s (-saved +read):\n%s", shape.Name, diff)
		}
	}
}

func TestSeedsGiveTheSameProgramsAtAnyRate(t *testing.T) {
	shape := tally()
	slow, fast := shape.Generate(9, 2, 60), shape.Generate(9, 8, 60)
	if diff := cmp.Diff(slow.Programs[3].Turns, fast.Programs[3].Turns); diff != "" {
		t.Errorf("the fourth program differs:\n%s", diff)
	}
	if cmp.Equal(slow.Programs, shape.Generate(10, 2, 60).Programs) {
		t.Error("another seed gave the same programs")
	}
}

func TestMeanArrivalRate(t *testing.T) {
	for _, shape := range Shapes() {
		const duration, rate = 4000, 5
		got := float64(len(shape.Generate(1, rate, duration).Programs)) / duration
		if got < 0.95*rate || got > 1.05*rate {
			t.Errorf("%s: %.2f programs a second, want %d", shape.Name, got, rate)
		}
	}
}

func TestSummariesTakeOneToTwelveLookUps(t *testing.T) {
	shape := tally()
	seen := map[int]bool{}
	for _, program := range shape.Sample(1, 5000) {
		if program.Template == "summary" {
			seen[len(program.Turns)-1] = true
		}
	}
	for lookUps := 1; lookUps <= 12; lookUps++ {
		if !seen[lookUps] {
			t.Errorf("no summary with %d look-ups", lookUps)
		}
	}
	if len(seen) != 12 {
		t.Errorf("%d different numbers of look-ups, want 12", len(seen))
	}
}

func TestMalformedTraces(t *testing.T) {
	header := `{"workload":"tally","seed":1,"rate":1,"programs":1}` + "\n"
	for name, text := range map[string]string{
		"empty":         "",
		"no header":     "x\n",
		"not a program": header + "[]\n",
		"no turns":      header + `{"id":"a","tenant":"t","template":"s","turns":[]}` + "\n",
		"bad tokens":    header + `{"id":"a","tenant":"t","template":"s","turns":[{"input_tokens":0,"answer_tokens":1}]}` + "\n",
		"too few":       header,
	} {
		if _, err := Read(strings.NewReader(text)); !eris.Is(err, ErrMalformedTrace) {
			t.Errorf("%s: error %v, want %v", name, err, ErrMalformedTrace)
		}
	}
}
