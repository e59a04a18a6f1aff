package relay

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/route"
)

// TestStreamWithOnlyAnIDIsBoundToItsVersion: an ID tells where another run goes on, so it must be one of the same
// software version.
func TestStreamWithOnlyAnIDIsBoundToItsVersion(t *testing.T) {
	for range 30 { // instances are chosen at random
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, step{body: "id: 3\n\n", cut: true}, step{body: "id: 4\ndata: x\n\n"})
			var instances []instance.Instance
			for number := range 2 {
				instances = append(instances, instance.Instance{
					ID: fmt.Sprint("v", number), Service: "s", Address: fmt.Sprint("a:", number), Zone: "z", Slots: 4,
					State: instance.StateReady, Version: fmt.Sprint(number),
				})
			}
			h.pool.Replace(instances)
			got := h.serve(newCall(newRoute(route.KindStream)))
			if !got.ended || len(h.driver.to) != 2 || h.driver.sent[1].ResumeAfter != "3" {
				t.Fatalf("sent to %v, the caller got %q", h.sentTo(), got.body.String())
			}
			if first, second := h.driver.to[0].Version, h.driver.to[1].Version; first != second {
				t.Errorf("begun at version %q, resumed at %q", first, second)
			}
		})
	}
}

// TestCommentsOnlyDoNotBindAStream: no event was passed on, so the stream may begin anew at any version.
func TestCommentsOnlyDoNotBindAStream(t *testing.T) {
	h := newHarness(t, step{body: ": keep-alive\n\n", cut: true}, step{body: "id: 1\ndata: x\n\n"})
	call := newTurn(newRoute(route.KindStream))
	got := h.serve(call)
	if !got.ended || got.body.String() != ": keep-alive\n\nid: 1\ndata: x\n\n" || h.driver.sent[1].ResumeAfter != "" {
		t.Errorf("the caller got %q, resumed after %q", got.body.String(), h.driver.sent[1].ResumeAfter)
	}
	if used := h.ledger.outcomes[0].UsedTokens; used != 4 {
		t.Errorf("%d tokens are used, want those of one event", used)
	}
}
