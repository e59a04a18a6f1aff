package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/route"
)

// picks returns how often the pool picks each instance in 60 single requests.
func (h *harness) picks() map[string]int {
	counts := map[string]int{}
	for range 60 {
		got, _ := h.pool.Take(instance.Query{Service: "s"})
		counts[got.ID]++
		h.pool.Release(got.ID, instance.OutcomeAnswered)
	}
	return counts
}

func TestSilentInstanceIsPassedOver(t *testing.T) {
	for _, kind := range []route.Kind{route.KindStream, route.KindOnce} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, step{hold: true})
				call := newCall(newRoute(kind))
				call.Deadline = call.Received.Add(2 * time.Second)
				if h.serve(call).refusal == nil {
					t.Fatal("a request without an answer was not refused")
				}
				if got := h.picks()[h.sentTo()[0]]; got != 0 {
					t.Errorf("the silent instance got %d of 60 requests", got)
				}
			})
		})
	}
}

func TestEarlyDisconnectDoesNotCountAgainstInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, step{hold: true})
		ctx, leave := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer leave()
		h.relay.Serve(ctx, newCall(newRoute(route.KindOnce)), &recorder{})
		if got := h.picks()[h.sentTo()[0]]; got == 0 {
			t.Error("the instance gets no requests")
		}
	})
}

// A disconnect or the shutdown deadline during an error answer must not count against the
// instance.
func TestDisconnectDuringErrorAnswerDoesNotCountAgainstInstance(t *testing.T) {
	for _, kind := range []route.Kind{route.KindStream, route.KindOnce} {
		for _, cause := range []error{context.Canceled, ErrShutdownDeadline} {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, step{status: http.StatusInternalServerError, body: "half", stall: true})
				ctx, leave := context.WithCancelCause(t.Context())
				time.AfterFunc(50*time.Millisecond, func() { leave(cause) })
				h.relay.Serve(ctx, newCall(newRoute(kind)), &recorder{})
				if got := h.picks()[h.sentTo()[0]]; got == 0 {
					t.Errorf("%s, %v: the instance gets no requests", kind, cause)
				}
			})
		}
	}
}

// pacedDriver answers with ten events; one instance sends them more slowly.
type pacedDriver struct {
	slow string
}

// Send implements Driver.
func (d *pacedDriver) Send(_ context.Context, to instance.Instance, _ *OutgoingCall) (*Answer, error) {
	gap := 10 * time.Millisecond
	if to.ID == d.slow {
		gap *= 8
	}
	reader, writer := io.Pipe()
	go func() {
		for i := range 10 {
			time.Sleep(gap)
			_, _ = writer.Write([]byte("id: " + strconv.Itoa(i) + "\ndata: x\n\n"))
		}
		_ = writer.Close()
	}()
	return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: reader}, nil
}

func TestSlowStreamsCountAgainstTheirInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.relay.Driver = &pacedDriver{slow: "i2"}
		for range 9 {
			if !h.serve(newCall(newRoute(route.KindStream))).ended {
				t.Fatal("a stream did not end")
			}
		}
		if got := h.picks(); got["i2"] != 0 || got["i1"] == 0 || got["i3"] == 0 {
			t.Errorf("got %v, want none at the slow instance i2", got)
		}
	})
}

// HoldConnection implements Driver.
func (*pacedDriver) HoldConnection(ctx context.Context, _ instance.Instance) error {
	<-ctx.Done()
	return nil
}

// ConnectToLiving implements Driver.
func (d *pacedDriver) ConnectToLiving(ctx context.Context, to instance.Instance) error {
	return d.Connect(ctx, to, 0)
}

// Connect implements Driver.
func (d *pacedDriver) Connect(context.Context, instance.Instance, int) error { return nil }
