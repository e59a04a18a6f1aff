package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/ledger"
	"github.com/mintpulley/mintpulley/internal/route"
)

// errCut is the error of a connection that broke.
var errCut = errors.New("cut")

// step is the driver's response to one offer.
type step struct {
	err    error
	status int
	notRun bool
	// implies is what callers take the status to mean.
	implies Implication
	// misdirected: another instance has the address, and turned the call away.
	misdirected bool
	body        string
	// cut ends the body with errCut; stall blocks at its end until the call's context ends.
	cut, stall bool
	// endless is repeated without end after the body.
	endless string
	// takes is the time until the answer; if the call's context ends before, there is none.
	takes time.Duration
	// hold blocks until the call's context ends, without an answer.
	hold bool
}

// scriptedDriver plays its steps in order and repeats the last one.
type scriptedDriver struct {
	mutex sync.Mutex
	steps []step
	sent  []OutgoingCall
	to    []instance.Instance
	// onSend, if not nil, is called with each offer.
	onSend func()
}

// Send implements Driver.
func (d *scriptedDriver) Send(ctx context.Context, to instance.Instance, outgoing *OutgoingCall) (*Answer, error) {
	d.mutex.Lock()
	next := d.steps[min(len(d.sent), len(d.steps)-1)]
	d.sent = append(d.sent, *outgoing)
	d.to = append(d.to, to)
	d.mutex.Unlock()
	if d.onSend != nil {
		d.onSend()
	}
	if next.hold {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if next.takes > 0 {
		clock.Sleep(ctx, next.takes)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	if next.err != nil {
		return nil, next.err
	}
	var body io.Reader = strings.NewReader(next.body)
	if next.cut {
		body = io.MultiReader(body, cutReader{})
	}
	if next.stall {
		body = io.MultiReader(body, stalledReader{ctx})
	}
	if next.endless != "" {
		body = io.MultiReader(body, repeatedReader{next.endless})
	}
	status := next.status
	if status == 0 {
		status = http.StatusOK
	}
	return &Answer{Status: status, Header: http.Header{}, Body: io.NopCloser(body), NotRun: proofOf(next.notRun, next.misdirected), Implies: next.implies}, nil
}

// proofOf returns what proves that an instance did not run a call.
func proofOf(notRun, misdirected bool) NotRunProof {
	switch {
	case misdirected:
		return ProofOtherInstance
	case notRun:
		return ProofDeclared
	}
	return ProofNone
}

// ConnectToLiving implements Driver.
func (d *scriptedDriver) ConnectToLiving(ctx context.Context, to instance.Instance) error {
	return d.Connect(ctx, to, 0)
}

// HoldConnection implements Driver.
func (*scriptedDriver) HoldConnection(ctx context.Context, _ instance.Instance) error {
	<-ctx.Done()
	return nil
}

// Connect implements Driver.
func (d *scriptedDriver) Connect(context.Context, instance.Instance, int) error { return nil }

type cutReader struct{}

func (cutReader) Read([]byte) (int, error) { return 0, errCut }

// stalledReader blocks until its context ends.
type stalledReader struct{ context.Context }

func (r stalledReader) Read([]byte) (int, error) {
	<-r.Done()
	return 0, r.Err()
}

// recorder is a Responder that records what the caller gets.
type recorder struct {
	status       int
	body         bytes.Buffer
	refusal      *Refusal
	ended        bool
	aborted      bool
	endings      int
	disconnected bool
}

func (r *recorder) Answer(status int, _ http.Header, body []byte) error {
	r.status = status
	r.body.Write(body)
	r.endings++
	if r.disconnected {
		return errCut
	}
	return nil
}

func (r *recorder) Refuse(refusal Refusal) {
	r.refusal = &refusal
	r.endings++
}

func (r *recorder) Head(status int, _ http.Header) { r.status = status }

func (r *recorder) Event(raw []byte) error {
	if r.disconnected {
		return errCut
	}
	r.body.Write(raw)
	return nil
}

func (r *recorder) End() {
	r.ended = true
	r.endings++
}

func (r *recorder) Abort() {
	r.aborted = true
	r.endings++
}

// fakeLedger is a Ledger that returns fixed results and records its calls.
type fakeLedger struct {
	mutex    sync.Mutex
	err      error
	endErr   error
	history  string
	instance string
	turns    []ledger.Turn
	outcomes []ledger.Outcome
	// abandoned lists the IDs of abandoned turns.
	abandoned []string
}

func (l *fakeLedger) Begin(_ context.Context, turn ledger.Turn) (ledger.Grant, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.turns = append(l.turns, turn)
	return ledger.Grant{History: []byte(l.history), Instance: l.instance}, l.err
}

func (l *fakeLedger) Abandon(turn ledger.Turn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.abandoned = append(l.abandoned, turn.ID)
}

func (l *fakeLedger) End(_ context.Context, outcome ledger.Outcome) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.outcomes = append(l.outcomes, outcome)
	return l.endErr
}

func (l *fakeLedger) setError(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.err = err
}

type harness struct {
	t      *testing.T
	driver *scriptedDriver
	ledger *fakeLedger
	relay  *Relay
	pool   *instance.Pool
	// metrics are the metrics of all relays that the test used.
	metrics []*Metrics
}

func newHarness(t *testing.T, steps ...step) *harness {
	t.Helper()
	h := &harness{t: t, driver: &scriptedDriver{steps: steps}, ledger: &fakeLedger{}}
	h.pool = instance.NewPool(rand.New(rand.NewPCG(1, 1)), instance.Plugins{})
	h.pool.Replace([]instance.Instance{
		{ID: "i1", Service: "s", Address: "a:1", Zone: "z", Slots: 4, State: instance.StateReady},
		{ID: "i2", Service: "s", Address: "a:2", Zone: "z", Slots: 4, State: instance.StateReady},
		{ID: "i3", Service: "s", Address: "a:3", Zone: "z", Slots: 4, State: instance.StateReady},
	})
	table := route.NewTable(1, nil, []*route.Service{{Name: "s", MaxConnections: 20, Model: &route.Model{TokensPerEvent: 4}}})
	h.relay = New(Options{
		Pool:    h.pool,
		Driver:  h.driver,
		Ledger:  h.ledger,
		Table:   func() *route.Table { return table },
		Daemons: func() int { return 2 },
		Logger:  zerolog.Nop(),
		Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	h.metrics = append(h.metrics, h.relay.Metrics)
	t.Cleanup(h.checkEndings)
	return h
}

// checkEndings checks that every request ended exactly once and by its handler.
func (h *harness) checkEndings() {
	h.t.Helper()
	for _, m := range h.metrics {
		if open := sumOf(m.open); open != 0 {
			h.t.Errorf("%v requests have no ending", open)
		}
		if faults := sumOf(m.faults); faults != 0 {
			h.t.Errorf("%v requests were left without an ending, ended twice, or by a panic", faults)
		}
	}
}

// sumOf returns the sum of all series of a metric.
func sumOf(metric prometheus.Collector) float64 {
	figures := make(chan prometheus.Metric, 100)
	metric.Collect(figures)
	close(figures)
	sum := 0.0
	for figure := range figures {
		var read dto.Metric
		_ = figure.Write(&read) // does not fail for the metrics of this package
		sum += read.GetCounter().GetValue() + read.GetGauge().GetValue()
	}
	return sum
}

func newRoute(kind route.Kind) *route.Route {
	return &route.Route{
		Name: "r", Kind: kind, MaxAttempts: 3, Resumable: true,
		Services: []route.WeightedService{{Service: "s", Weight: 1}},
	}
}

func newCall(r *route.Route) *Call {
	now := time.Now()
	return &Call{ID: "q", Route: r, Method: "POST", Target: "/x", Body: []byte("new"), Received: now, Deadline: now.Add(20 * time.Second)}
}

func newTurn(r *route.Route) *Call {
	call := newCall(r)
	call.MaxTokens = 10
	call.Program = &Program{ID: "p", Session: "s1", BudgetTokens: 100}
	return call
}

// serve handles a call and checks that it ended once.
func (h *harness) serve(call *Call) *recorder {
	h.t.Helper()
	r := &recorder{}
	h.relay.Serve(context.Background(), call, r)
	h.relay.Wait(context.Background())
	if r.endings != 1 {
		h.t.Errorf("the call was ended %d times", r.endings)
	}
	if len(h.pool.Loads()) != 0 {
		h.t.Errorf("requests are still counted at instances: %v", h.pool.Loads())
	}
	return r
}

func (h *harness) sentTo() []string {
	var ids []string
	for _, to := range h.driver.to {
		ids = append(ids, to.ID)
	}
	return ids
}

func allDistinct(ids []string) bool {
	sorted := slices.Sorted(slices.Values(ids))
	return len(slices.Compact(sorted)) == len(ids)
}

var errNotSent = httpconn.ErrNotSent
