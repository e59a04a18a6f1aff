package yamlfile

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

type sample struct {
	Name   string                `yaml:"name"`
	Count  int                   `yaml:"count"`
	Pause  time.Duration         `yaml:"pause"`
	Weight float64               `yaml:"weight"`
	On     bool                  `yaml:"on"`
	List   []string              `yaml:"list"`
	Inner  map[string]sampleItem `yaml:"inner"`
	Level  *int                  `yaml:"level"`
}

type sampleItem struct {
	Size int64 `yaml:"size"`
}

func TestDecodeReadsEveryKind(t *testing.T) {
	level := 3
	want := sample{Name: "a", Count: -2, Pause: 1500 * time.Millisecond, Weight: 2, On: true, List: []string{"x", "y"},
		Inner: map[string]sampleItem{"one": {Size: 1}, "two": {Size: 1}}, Level: &level}
	got := sample{Name: "kept"}
	text := "name: a\ncount: -2\npause: 1.5s\nweight: 2\non: true\nlist: [x, y]\ninner:\n  one: &one\n    size: 1\n  two: *one\nlevel: 3\n"
	lines, problems := Decode("f.yaml", []byte(text), &got)
	if len(problems) > 0 {
		t.Fatal(Problems(problems))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("value (-want +got):\n%s", diff)
	}
	if line := lines.Line("inner.two.size.deeper"); line != 9 && line != 10 {
		t.Errorf("line %d, want that of the nearest parent", line)
	}
}

func TestDecodeReportsEverythingAtOnce(t *testing.T) {
	text := "name: 5\ncount: 1.5\npause: 3\nweight: .nan\non: yess\nlist: x\ninner:\n  one: {size: 1, sise: 2}\n  one: {}\nlevel:\nnmae: a\n"
	var got sample
	_, problems := Decode("f.yaml", []byte(text), &got)
	want := []string{
		`f.yaml:1: name: is "5", want text (in quotes if it looks like a number)`,
		`f.yaml:2: count: is "1.5", want a whole number`,
		`f.yaml:3: pause: is "3", want a duration such as 500ms or 2h`,
		`f.yaml:4: weight: is ".nan", want a number`,
		`f.yaml:5: on: is "yess", want true or false`,
		`f.yaml:6: list: is "x", want a list`,
		`f.yaml:8: inner.one.sise: is not a known field; known are size`,
		`f.yaml:9: inner.one: is given twice, first in line 8`,
		`f.yaml:10: level: has no value`,
		`f.yaml:11: nmae: is not a known field; known are name, count, pause, weight, on, list, inner, level`,
	}
	if diff := cmp.Diff(strings.Join(want, "\n"), Problems(problems).Error()); diff != "" {
		t.Errorf("problems (-want +got):\n%s", diff)
	}
}

func TestDecodeBoundsAliases(t *testing.T) {
	text := "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n"
	for i := 1; i < 9; i++ {
		previous := "*a" + string(rune('0'+i-1))
		text += "a" + string(rune('0'+i)) + ": &a" + string(rune('0'+i)) + " [" + strings.Repeat(previous+", ", 9) + previous + "]\n"
	}
	var got map[string]nested
	if _, problems := Decode("f.yaml", []byte(text), &got); len(problems) == 0 {
		t.Error("a file that expands to a billion values was accepted")
	}
}

type nested [][][][][][][][][][]string

func FuzzDecode(f *testing.F) {
	f.Add([]byte("name: a\ninner: {one: {size: 1}}\n"))
	f.Add([]byte("list: &a [*a]\n"))
	f.Add([]byte("<<: {name: 1}\n? [a]\n: b\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got sample
		_, problems := Decode("f.yaml", data, &got)
		for _, problem := range problems {
			if problem.Reason == "" || problem.File == "" {
				t.Errorf("a problem without reason or file: %+v", problem)
			}
		}
	})
}
