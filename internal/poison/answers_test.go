package poison

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

func TestEndsThatComeAtOnceCountAsOneIfTheContentWasAnsweredBefore(t *testing.T) {
	for name, c := range map[string]struct {
		answers int
		// ends are ends before any is known, and reserved ends of one send after the other.
		ends, reserved int
		wantRefused    bool
	}{
		"never answered":                    {ends: 3, wantRefused: true},
		"answered before":                   {answers: 3, ends: 5},
		"answered before, one more end":     {answers: 3, ends: 5, reserved: 1},
		"answered before, two more ends":    {answers: 3, ends: 5, reserved: 2, wantRefused: true},
		"answered before, one at a time":    {answers: 3, ends: 1, reserved: 2, wantRefused: true},
		"answered before, two, one by one":  {answers: 3, ends: 1, reserved: 1},
		"answered once, as most are":        {answers: 1, ends: 3, wantRefused: true},
		"another content of the same shape": {answers: -3, ends: 3, wantRefused: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				f.answer(c.answers)
				f.endTogether(t, c.ends)
				for number := range c.reserved {
					f.endReserved(t, fmt.Sprint("reserved-", number))
				}
				for _, d := range f.living() {
					tracker := d.track("content")
					if err := tracker.Admit(d.alive, anyInstance); (err != nil) != c.wantRefused {
						t.Errorf("%s refuses with %v, want refused: %v", d.Self, err, c.wantRefused)
					}
					tracker.Close()
					time.Sleep(time.Second)
				}
			})
		})
	}
}

// answer answers the content at one daemon a number of times; a negative number does that with another
// content of its shape.
func (f *fleet) answer(times int) {
	content := "content"
	if times < 0 {
		content, times = "tnetnoc", -times
	}
	d := f.living()[0]
	for range times {
		tracker := d.track(content)
		_ = tracker.Admit(d.alive, anyInstance) // it is not suspected
		tracker.Answered()
		tracker.Close()
		time.Sleep(2 * digestInterval)
	}
}

// endTogether sends the content so often before the first back end ends under it.
func (f *fleet) endTogether(t *testing.T, ends int) {
	living := f.living()
	trackers := make([]*Tracker, ends)
	for number := range trackers {
		d := living[1+number%(len(living)-1)] // not the one that knows answers
		trackers[number] = d.track("content")
		if err := trackers[number].Admit(d.alive, anyInstance); err != nil {
			t.Error(err)
		}
	}
	for number, tracker := range trackers {
		tracker.Ended(t.Context(), fmt.Sprint("e", number), nil)
		tracker.Close()
	}
	time.Sleep(time.Second)
}

// endReserved sends the content once, under which a back end ends.
func (f *fleet) endReserved(t *testing.T, instance string) {
	d := f.living()[1]
	tracker := d.track("content")
	if err := tracker.Admit(d.alive, anyInstance); err != nil {
		t.Error(err)
	}
	tracker.Ended(t.Context(), instance, nil)
	tracker.Close()
	time.Sleep(time.Second)
}

func TestAnswersAreForgottenInTime(t *testing.T) {
	var a answers
	now := time.Unix(1000, 0)
	a.add("x", now)
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{answerLifetime - 1, true}, {answerLifetime, true}, {2 * answerLifetime, false}} {
		if got := a.contains("x", now.Add(c.after)); got != c.want {
			t.Errorf("after %s: %v, want %v", c.after, got, c.want)
		}
	}
}

func TestAnswersAreBounded(t *testing.T) {
	var a answers
	now := time.Unix(1000, 0)
	for number := range 3 * maxAnswers {
		a.add(Digest(fmt.Sprint(number)), now)
		a.isDigestDue(&Content{Target: fmt.Sprint(number)}, now)
	}
	if digests, shapes := len(a.newest.digests)+len(a.older.digests), len(a.newest.digestAt)+len(a.older.digestAt); digests > 2*maxAnswers || shapes > 2*maxAnswers {
		t.Errorf("%d digests and %d shapes are kept", digests, shapes)
	}
	if !a.contains(Digest(fmt.Sprint(3*maxAnswers-1)), now) {
		t.Error("the latest answer is forgotten")
	}
}

func TestFewDigestsOfOneShapeAreComputed(t *testing.T) {
	var a answers
	now := time.Unix(1000, 0)
	content := &Content{Target: "x", Body: []byte("text")}
	due := 0
	for number := range 1000 {
		if a.isDigestDue(content, now.Add(time.Duration(number)*time.Millisecond)) {
			due++
		}
	}
	if most := int(time.Second/digestInterval) + 1; due == 0 || due > most {
		t.Errorf("%d digests are computed in a second, want 1 to %d", due, most)
	}
}

// BenchmarkAnsweredRequests: requests with bodies of 100 KB that are answered, all of one shape or each of
// its own.
func BenchmarkAnsweredRequests(b *testing.B) {
	for name, shapes := range map[string]int{"one shape": 1, "many shapes": 1 << 20} {
		b.Run(name, func(b *testing.B) {
			g := NewGuard(Options{Metrics: NewMetrics(prometheus.NewRegistry()), Logger: zerolog.Nop()})
			g.stopListWait()
			body := make([]byte, 100<<10)
			targets := make([]string, min(shapes, 1<<16))
			for number := range targets {
				targets[number] = fmt.Sprint("/v1/models/", number)
			}
			b.ReportAllocs()
			for number := 0; b.Loop(); number++ {
				tracker := g.NewTracker(Content{Method: "POST", Target: targets[number%len(targets)], Body: body}, About{})
				if err := tracker.Admit(b.Context(), nil); err != nil {
					b.Fatal(err)
				}
				tracker.Answered()
				tracker.Close()
			}
		})
	}
}
