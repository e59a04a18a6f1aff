package relay

import (
	"fmt"
	"testing"
	"time"
)

// TestStreamsAreNotJoinedAcrossTheLossOfAllDaemons guards against going on at another version after all
// daemons were killed and the version that began the streams left.
func TestStreamsAreNotJoinedAcrossTheLossOfAllDaemons(t *testing.T) {
	rejoinAfterLoss(t, nil)
}

// TestUnnamedStreamsAreNotJoinedAcrossTheLossOfAllDaemons is the same for callers that do not name the
// request that began the stream.
func TestUnnamedStreamsAreNotJoinedAcrossTheLossOfAllDaemons(t *testing.T) {
	rejoinAfterLoss(t, new(string))
}

// rejoinAfterLoss kills all daemons while streams run at one or two versions, ends the engines of the first
// version, starts the daemons, and resumes the streams by a name; nil for that of the first request.
func rejoinAfterLoss(t *testing.T, name *string) {
	for versions, before := range map[string][]string{"one version": {"v1", "v1"}, "two versions": {"v1", "v1", "v2", "v2"}} {
		for _, after := range []time.Duration{50 * time.Millisecond, 2 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprintf("%s, after %v", versions, after), func(t *testing.T) {
				forBothKinds(t, func(t *testing.T, ofPrograms bool) {
					f := newVersionFleet(t, before...)
					streams := newStreams(f, ofPrograms)
					time.AfterFunc(allPassedOn, f.killAll)
					callAll(streams, func(s *streamCaller, number int) { s.call(f.daemonAt(number), 0) })
					f.startEngine("e9", "v2")
					f.crashEngines("v1")
					f.removeEngines("v1")
					for number := range fleetDaemons {
						f.start(number)
					}
					time.Sleep(after)
					f.relist()
					callAll(streams, func(s *streamCaller, number int) {
						s.resumes = name
						s.call(f.daemonAt(number), 0)
					})
					if got := countStreams(streams); got.mixed > 0 {
						t.Errorf("%d of %d streams hold events of two versions: %+v", got.mixed, versionStreams, got)
					}
				})
			})
		}
	}
}
