package relay

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/ledger"
	"github.com/mintpulley/mintpulley/internal/route"
)

// mixedVersions are the versions of the engines e0 to e5.
var mixedVersions = []string{"v1", "v1.1", "v1", "v1.1", "v1", "v1.1"}

// counts counts the streams of a test by what became of them.
type counts struct{ mixed, whole, refusedNotRun, refusedLate int }

func countStreams(streams []*streamCaller) counts {
	var c counts
	for _, s := range streams {
		if s.isMixed() {
			c.mixed++
		}
		if s.isWhole() {
			c.whole++
		}
		if s.refusal != nil && s.refusal.Reason.PromisesNotRun() {
			c.refusedNotRun++
		}
		if s.refusedAfter > promptRefusal {
			c.refusedLate++
		}
	}
	return c
}

// forBothKinds runs a test with streams that are turns of programs, and with others.
func forBothKinds(t *testing.T, test func(t *testing.T, ofPrograms bool)) {
	for _, ofPrograms := range []bool{true, false} {
		t.Run(fmt.Sprintf("of programs %t", ofPrograms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, ofPrograms) })
		})
	}
}

// TestStreamOfUnknownOriginIsRefusedAtOnce resumes streams of a service with two versions by
// names that tell nobody their origin.
func TestStreamOfUnknownOriginIsRefusedAtOnce(t *testing.T) {
	itself := func(s *streamCaller) string { return fmt.Sprintf("%s-%d", s.name, s.requests+1) }
	for name, resumes := range map[string]func(s *streamCaller) string{
		"none":             func(*streamCaller) string { return "" },
		"unknown":          func(*streamCaller) string { return "made-up" },
		"itself":           itself,
		"another stream's": func(s *streamCaller) string { return "x" + s.firstRequest },
		"overlong":         func(*streamCaller) string { return strings.Repeat("x", 5*ledger.MaxIDBytes) },
		"no text":          func(*streamCaller) string { return "\xff\xfe" },
	} {
		t.Run(name, func(t *testing.T) {
			forBothKinds(t, func(t *testing.T, ofPrograms bool) {
				f := newVersionFleet(t, mixedVersions...)
				streams := newStreams(f, ofPrograms)
				callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number), passedOn) })
				callAll(streams, func(s *streamCaller, number int) {
					named := resumes(s)
					s.resumes = &named
					s.call(f.daemonAt(number+1), 0)
				})
				if got, want := countStreams(streams), (counts{refusedNotRun: versionStreams}); got != want {
					t.Errorf("got %+v, want %+v", got, want)
				}
			})
		})
	}
}

// TestStreamOfUnknownOriginGoesOnWhereAllHaveOneVersion: nothing is joined if the service has
// had one version for longer than streams last.
func TestStreamOfUnknownOriginGoesOnWhereAllHaveOneVersion(t *testing.T) {
	forBothKinds(t, func(t *testing.T, ofPrograms bool) {
		f := newVersionFleet(t, "v1", "v1", "v1")
		time.Sleep(2 * minSoleTime)
		f.relist()
		streams := newStreams(f, ofPrograms)
		callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number), passedOn) })
		callAll(streams, func(s *streamCaller, number int) {
			s.resumes = new(string)
			s.call(f.daemonAt(number+1), 0)
		})
		if got, want := countStreams(streams), (counts{whole: versionStreams}); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
}

// TestCallerWithoutANameIsServedByDaemonsThatHaveJustStarted: such daemons cannot know for how
// long there has been one version, and nothing but the name could tell them.
func TestCallerWithoutANameIsServedByDaemonsThatHaveJustStarted(t *testing.T) {
	for name, want := range map[string]counts{"": {whole: versionStreams}, "made-up": {refusedNotRun: versionStreams}} {
		t.Run("named "+name, func(t *testing.T) {
			forBothKinds(t, func(t *testing.T, ofPrograms bool) {
				f := newVersionFleet(t, "v1", "v1", "v1")
				streams := newStreams(f, ofPrograms)
				callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number), passedOn) })
				f.killAll()
				for number := range fleetDaemons {
					f.start(number)
				}
				time.Sleep(time.Second)
				f.relist()
				callAll(streams, func(s *streamCaller, number int) {
					s.resumes = &name
					s.call(f.daemonAt(number), 0)
				})
				if got := countStreams(streams); got != want {
					t.Errorf("got %+v, want %+v", got, want)
				}
			})
		})
	}
}

// TestStreamOfUnknownOriginIsRefusedSoonAfterARelease: a version that served a moment ago may
// have begun the stream.
func TestStreamOfUnknownOriginIsRefusedSoonAfterARelease(t *testing.T) {
	forBothKinds(t, func(t *testing.T, ofPrograms bool) {
		f := newVersionFleet(t, "v1", "v1")
		time.Sleep(2 * minSoleTime)
		streams := newStreams(f, ofPrograms)
		callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number), passedOn) })
		f.startEngine("e9", "v2")
		f.removeEngines("v1")
		callAll(streams, func(s *streamCaller, number int) {
			s.resumes = new(string)
			s.call(f.daemonAt(number+1), 0)
		})
		if got, want := countStreams(streams), (counts{refusedNotRun: versionStreams}); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
}

// TestOriginIsRevisedBeforeTheFirstEvent: the version that was chosen takes no request, so
// streams begin at the other one and must be resumed there.
func TestOriginIsRevisedBeforeTheFirstEvent(t *testing.T) {
	forBothKinds(t, func(t *testing.T, ofPrograms bool) {
		f := newVersionFleet(t, mixedVersions...)
		f.engines.setFull(true, "e0", "e2", "e4")
		streams := newStreams(f, ofPrograms)
		callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number), passedOn) })
		f.engines.setFull(false, "e0", "e2", "e4")
		callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number+1), 0) })
		if got, want := countStreams(streams), (counts{whole: versionStreams}); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
}

// TestNoEventBeforeARevisedOriginIsOnRecord: the store goes out between the two records of an
// origin. After the loss of all daemons a resumption finds the first one.
func TestNoEventBeforeARevisedOriginIsOnRecord(t *testing.T) {
	forBothKinds(t, func(t *testing.T, ofPrograms bool) {
		f := newVersionFleet(t, mixedVersions...)
		f.engines.setFull(true, "e0", "e2", "e4")
		f.engines.onRun = func() { f.store.SetDown(true) }
		streams := newStreams(f, ofPrograms)
		callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number), passedOn) })
		f.engines.onRun = nil
		f.killAll()
		f.store.SetDown(false)
		f.engines.setFull(false, "e0", "e2", "e4")
		for number := range fleetDaemons {
			f.start(number)
		}
		time.Sleep(2 * time.Second)
		callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number), 0) })
		if got := countStreams(streams); got.mixed > 0 {
			t.Errorf("got %+v, want none mixed", got)
		}
	})
}

// TestStreamWhoseRecordCannotBeReachedMayComeBack: all daemons are killed, and the store is out.
// The record is there once it is back, so the caller is told when to come again.
func TestStreamWhoseRecordCannotBeReachedMayComeBack(t *testing.T) {
	forBothKinds(t, func(t *testing.T, ofPrograms bool) {
		f := newVersionFleet(t, mixedVersions...)
		streams := newStreams(f, ofPrograms)
		callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number), passedOn) })
		time.Sleep(time.Second)
		f.killAll()
		f.store.SetDown(true)
		for number := range fleetDaemons {
			f.start(number)
		}
		time.Sleep(5 * time.Second)
		callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number), 0) })
		for _, s := range streams {
			if s.refusal == nil || s.refusal.Reason != ReasonLedgerUnavailable || s.refusal.RetryAfter == 0 {
				t.Fatalf("%s: refused %+v", s.name, s.refusal)
			}
		}
		f.store.SetDown(false)
		time.Sleep(2 * time.Second)
		callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number), 0) })
		if got := countStreams(streams); got.mixed > 0 || got.whole < versionStreams/2 {
			t.Errorf("got %+v, want none mixed and half of them whole", got)
		}
	})
}

// TestStreamGoesOnAtTheServiceThatBeganIt guards against a route with several services, or one
// that was moved to another, going on with a stream at the other service.
func TestStreamGoesOnAtTheServiceThatBeganIt(t *testing.T) {
	for name, c := range map[string]struct {
		services []route.WeightedService
		want     counts
	}{
		"split": {[]route.WeightedService{{Service: "s", Weight: 1}, {Service: "t", Weight: 9}}, counts{whole: versionStreams}},
		"moved": {[]route.WeightedService{{Service: "t", Weight: 1}}, counts{refusedNotRun: versionStreams}},
	} {
		t.Run(name, func(t *testing.T) {
			forBothKinds(t, func(t *testing.T, ofPrograms bool) {
				f := newVersionFleet(t, "v1", "v1")
				streams := newStreams(f, ofPrograms)
				callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number), passedOn) })
				changed := *f.route
				changed.Services = c.services
				f.route = &changed
				f.startEngineOf("t", "e9", "v9")
				callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number+1), 0) })
				if got := countStreams(streams); got != c.want {
					t.Errorf("got %+v, want %+v", got, c.want)
				}
			})
		})
	}
}

// TestHoldersWithoutOriginsJoinNothing: a holder of a build that knows no origins ignores
// these fields.
func TestHoldersWithoutOriginsJoinNothing(t *testing.T) {
	forBothKinds(t, func(t *testing.T, ofPrograms bool) {
		f := newVersionFleet(t, mixedVersions...)
		f.toHolder = func(request *ledger.Request) {
			if request.Begin == nil {
				return
			}
			ignored := *request.Begin
			ignored.Origin, ignored.OriginTTLMS, ignored.RecordSoon, ignored.Resumes, ignored.OriginOnly = nil, 0, false, "", false
			request.Begin = &ignored
		}
		streams := newStreams(f, ofPrograms)
		callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number), passedOn) })
		callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number+1), 0) })
		got := countStreams(streams)
		if got.mixed > 0 || got.whole+got.refusedNotRun != versionStreams {
			t.Errorf("got %+v, want none mixed, and each whole or refused", got)
		}
	})
}

// TestPatienceOfACallerDoesNotKeepItsProgramForEver: callers may say that they wait for years.
func TestPatienceOfACallerDoesNotKeepItsProgramForEver(t *testing.T) {
	h := newHarness(t, step{body: "id: 1\ndata: a\n\n"})
	call := newTurn(newRoute(route.KindStream))
	call.ResumableUntil = time.Now().Add(10 * 365 * 24 * time.Hour)
	h.serve(call)
	turn := h.ledger.turns[0]
	if kept := time.Duration(turn.OriginTTLMS) * time.Millisecond; turn.Retention > ledger.MaxOriginTTL || kept > ledger.MaxOriginTTL || kept == 0 {
		t.Errorf("the program is kept for %v and the origin for %v, want %v at most", turn.Retention, kept, ledger.MaxOriginTTL)
	}
}
