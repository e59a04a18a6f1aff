package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestDaemonOutOfStepJoinsNoStreams resumes streams, while engines of a new version join, at a daemon that has not
// read the list since before they joined. It last confirmed the list shortly before, or a while before.
func TestDaemonOutOfStepJoinsNoStreams(t *testing.T) {
	for _, isCutOff := range []bool{false, true} {
		for _, behind := range []time.Duration{0, 500 * time.Millisecond, 5 * time.Second} {
			for kind, ofPrograms := range map[string]bool{"of programs": true, "without a program": false} {
				for name, resumes := range map[string]*string{"named": nil, "unnamed": new(string)} {
					t.Run(fmt.Sprintf("cut off: %v, behind by %v, %s, %s", isCutOff, behind, kind, name), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { resumeOutOfStep(t, isCutOff, behind, ofPrograms, resumes) })
					})
				}
			}
		}
	}
}

// resumeOutOfStep resumes streams at a daemon that is out of step and checks that none holds events of two versions.
func resumeOutOfStep(t *testing.T, isCutOff bool, behind time.Duration, ofPrograms bool, resumes *string) {
	t.Helper()
	f := newVersionFleet(t, "v1", "v1")
	time.Sleep(2 * SoleTime(f.route.Timeout))
	f.relist()
	behindOthers := f.daemonAt(0)
	f.setOutOfStep(behindOthers.id, isCutOff)
	time.Sleep(behind)
	f.startEngine("e8", "v2")
	f.startEngine("e9", "v2")
	streams := newStreams(f, ofPrograms)
	callAll(streams, func(s *streamCaller, number int) {
		s.resumes = resumes
		s.call(f.daemonAt(1+number%(fleetDaemons-1)), passedOn)
		s.call(behindOthers, 0)
	})
	begunAtNew := 0
	for _, s := range streams {
		if len(s.versions) > 0 && s.versions[0] == "v2" {
			begunAtNew++
		}
	}
	if got := countStreams(streams); got.mixed > 0 || begunAtNew == 0 {
		t.Errorf("%d of %d streams, %d of them begun at the new version, hold events of two versions", got.mixed, versionStreams, begunAtNew)
	}
}

// TestVersionThatCameAndWentUnseenJoinsNoStreams resumes streams at a daemon that was out of step while engines of
// another version joined and left again.
func TestVersionThatCameAndWentUnseenJoinsNoStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionFleet(t, "v1", "v1")
		time.Sleep(2 * SoleTime(f.route.Timeout))
		f.relist()
		behindOthers := f.daemonAt(0)
		f.setOutOfStep(behindOthers.id, false)
		f.startEngine("e8", "v2")
		f.startEngine("e9", "v2")
		streams := newStreams(f, false)
		callAll(streams, func(s *streamCaller, number int) {
			s.resumes = new(string)
			s.call(f.daemonAt(1+number%(fleetDaemons-1)), passedOn)
		})
		f.removeEngines("v2")
		f.setOutOfStep("", false)
		callAll(streams, func(s *streamCaller, _ int) { s.call(behindOthers, 0) })
		if got := countStreams(streams); got.mixed > 0 {
			t.Errorf("%d of %d streams hold events of two versions", got.mixed, versionStreams)
		}
	})
}
