package relaydaemon

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/ledger"
	"github.com/mintpulley/mintpulley/internal/relay"
	"github.com/mintpulley/mintpulley/internal/route"
)

// streamDriver answers every request with a complete stream.
type streamDriver struct{ relay.Driver }

func (streamDriver) Send(context.Context, instance.Instance, *relay.OutgoingCall) (*relay.Answer, error) {
	return &relay.Answer{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("data: x\n\n"))}, nil
}

// slowLedger is a ledger that takes a while to record a turn.
type slowLedger struct {
	relay.Ledger
	takes time.Duration
}

func (slowLedger) Begin(context.Context, ledger.Turn) (ledger.Grant, error) {
	return ledger.Grant{}, nil
}

func (l slowLedger) End(ctx context.Context, outcome ledger.Outcome) error {
	if outcome.Kept == nil {
		return nil
	}
	select {
	case <-ctx.Done():
		return ledger.ErrUnavailable
	case <-time.After(l.takes):
		return nil
	}
}

// endingResponder reports how a stream ends.
type endingResponder struct {
	relay.Responder
	ended chan string
}

func (endingResponder) Head(int, http.Header) {}

func (endingResponder) Event([]byte) error { return nil }

func (n endingResponder) End() { n.ended <- "ended" }

func (n endingResponder) Abort() { n.ended <- "broken off" }

// TestWholeAnswerWaitsForItsRecordUntilItsCallerIsCut checks that at the shutdown deadline a
// complete answer may still wait for its record until its connection is cut.
func TestWholeAnswerWaitsForItsRecordUntilItsCallerIsCut(t *testing.T) {
	for want, takes := range map[string]time.Duration{"ended": 2 * time.Second, "broken off": time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			pool := instance.NewPool(rand.New(rand.NewPCG(1, 1)), instance.Plugins{})
			pool.Replace([]instance.Instance{{ID: "i", Service: "s", Address: "a:1", Slots: 1, State: instance.StateReady}})
			table := route.NewTable(1, nil, []*route.Service{{Name: "s"}})
			r := relay.New(relay.Options{
				Pool: pool, Driver: streamDriver{}, Ledger: slowLedger{takes: takes}, Logger: zerolog.Nop(),
				Table: func() *route.Table { return table }, Daemons: func() int { return 1 },
				Metrics: relay.NewMetrics(prometheus.NewRegistry()),
			})
			turns := &route.Route{Name: "r", Kind: route.KindStream, MaxAttempts: 1, RetainContext: true, Services: []route.WeightedService{{Service: "s", Weight: 1}}}
			responder := endingResponder{ended: make(chan string, 1)}
			listener := newPipeListener()
			server := newFrontServer(&http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
				call := &relay.Call{ID: "q", Route: turns, Received: time.Now(), Program: &relay.Program{ID: "p", BudgetTokens: 10}}
				r.Serve(request.Context(), call, responder)
			})}, newFrontListener(listener, 0, nil), neverRedirects)
			listener.dial(t).send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			time.Sleep(time.Second)
			server.reachShutdownDeadline()
			time.Sleep(2 * time.Second)
			server.close()
			if got := <-responder.ended; got != want {
				t.Errorf("the answer was %s, want it %s", got, want)
			}
			r.Wait(t.Context())
		})
	}
}
