package relay

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// versionStreams is the number of streams of each case, and streamPause the time between
	// two of them.
	versionStreams = 60
	streamPause    = time.Millisecond
	// passedOn is how many events a caller has when its stream breaks.
	passedOn = 3
	// allPassedOn is when all callers have that many events or a few more.
	allPassedOn = untilFirstEvent + passedOn*eventGap + versionStreams*streamPause
	// promptRefusal is how long a stream that cannot go on may take to be refused.
	promptRefusal = 100 * time.Millisecond
)

// versionCase breaks the streams of a fleet and resumes them.
type versionCase struct {
	name string
	play func(f *versionFleet, streams []*streamCaller)
	// least is how many streams must become whole.
	least int
}

// breaksOfEngines are cases in which one answer goes on at another engine, and
// breaksOfAnswers those in which callers resume.
var breaksOfEngines = []versionCase{
	{
		name: "the engine breaks off", least: versionStreams,
		play: func(f *versionFleet, streams []*streamCaller) {
			f.route.MaxAttempts = 3
			f.engines.breakAfter = passedOn
			callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number), 0) })
		},
	},
	{
		name: "two engines crash", least: versionStreams,
		play: func(f *versionFleet, streams []*streamCaller) {
			time.AfterFunc(allPassedOn, func() {
				f.engines.crash("e0")
				f.engines.crash("e1")
			})
			callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number), 0) })
		},
	},
}

var breaksOfAnswers = []versionCase{
	{
		name: "the caller resumes at another daemon", least: versionStreams,
		play: func(f *versionFleet, streams []*streamCaller) {
			callAll(streams, func(s *streamCaller, number int) {
				s.call(f.daemonAt(number), passedOn)
				s.call(f.daemonAt(number+1), 0)
			})
		},
	},
	{
		name: "resumed twice, at a third daemon", least: versionStreams,
		play: func(f *versionFleet, streams []*streamCaller) {
			callAll(streams, func(s *streamCaller, number int) {
				s.call(f.daemonAt(number), passedOn)
				s.call(f.daemonAt(number+1), 1)
				s.call(f.daemonAt(number+2), 0)
			})
		},
	},
	{
		name: "its daemon is killed", least: versionStreams / 2,
		play: func(f *versionFleet, streams []*streamCaller) {
			time.AfterFunc(allPassedOn, func() { f.killDaemon(f.daemonAt(0)) })
			first := f.daemonAt(0)
			callAll(streams, func(s *streamCaller, _ int) { s.call(first, 0) })
			time.Sleep(50 * time.Millisecond)
			callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number), 0) })
		},
	},
	{
		name: "all daemons are killed", least: versionStreams / 2,
		play: func(f *versionFleet, streams []*streamCaller) {
			time.AfterFunc(allPassedOn, f.killAll)
			callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number), 0) })
			for number := range fleetDaemons {
				f.start(number)
			}
			time.Sleep(2 * time.Second)
			callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number), 0) })
		},
	},
}

// TestAnswerKeepsItsSoftwareVersion guards against one answer with events of two versions.
func TestAnswerKeepsItsSoftwareVersion(t *testing.T) { playVersionCases(t, breaksOfEngines) }

// TestResumedStreamKeepsItsSoftwareVersion guards against requests of one stream that bring
// events of two versions.
func TestResumedStreamKeepsItsSoftwareVersion(t *testing.T) { playVersionCases(t, breaksOfAnswers) }

// playVersionCases plays each case with streams that are turns of programs, and with others.
func playVersionCases(t *testing.T, cases []versionCase) {
	for _, c := range cases {
		for kind, ofPrograms := range map[string]bool{"of programs": true, "without a program": false} {
			t.Run(c.name+", "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { c.run(t, ofPrograms) })
			})
		}
	}
}

// TestStreamWithoutItsVersionIsRefusedAtOnce guards against waiting for a version that no
// engine has any more, and against going on at another one.
func TestStreamWithoutItsVersionIsRefusedAtOnce(t *testing.T) {
	for name, end := range map[string]func(f *versionFleet){
		"entries removed": func(f *versionFleet) { f.removeEngines("v1") },
		"still listed":    func(f *versionFleet) { f.crashEngines("v1") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newVersionFleet(t, "v1", "v1", "v1")
				streams := newStreams(f, true)
				callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number), passedOn) })
				f.startEngine("e9", "v1.10")
				end(f)
				callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number+1), 0) })
				if got, want := countStreams(streams), (counts{refusedNotRun: versionStreams}); got != want {
					t.Errorf("got %+v, want %+v: refused within %v with the promise that they have not run", got, want, promptRefusal)
				}
			})
		})
	}
}

// run plays the case at engines of two versions.
func (c *versionCase) run(t *testing.T, ofPrograms bool) {
	f := newVersionFleet(t, mixedVersions...)
	streams := newStreams(f, ofPrograms)
	c.play(f, streams)
	got := countStreams(streams)
	if got.mixed > 0 || got.whole < c.least {
		t.Errorf("%d of %d streams hold events of two versions, %d are whole, want 0 and %d or more", got.mixed, versionStreams, got.whole, c.least)
	}
}

// newStreams returns the callers of streams that have not begun.
func newStreams(f *versionFleet, ofPrograms bool) []*streamCaller {
	streams := make([]*streamCaller, versionStreams)
	for number := range streams {
		streams[number] = &streamCaller{fleet: f, name: fmt.Sprint("stream-", number)}
		if ofPrograms {
			streams[number].program = &Program{ID: fmt.Sprint("program-", number), Session: "s", BudgetTokens: 100 * versionedEvents}
		}
	}
	return streams
}

// callAll calls for all streams, streamPause apart, and waits until all have returned.
func callAll(streams []*streamCaller, call func(s *streamCaller, number int)) {
	var callers sync.WaitGroup
	for number, s := range streams {
		callers.Go(func() { call(s, number) })
		time.Sleep(streamPause)
	}
	callers.Wait()
}
