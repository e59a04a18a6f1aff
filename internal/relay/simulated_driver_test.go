package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/route"
)

// behaviour is an instance's response to one offer.
type behaviour int

const (
	behavesWell behaviour = iota
	unreachable
	refuses
	misdirects
	resetsBeforeRun
	losesAnswer
	hangs
	fails
	crashesMidway
	resetsMidway
	behaviourCount
)

// simulatedRun is one run of a call at an instance.
type simulatedRun struct {
	instance string
	// until is when the instance stops working on the call.
	until time.Time
}

// simulatedDriver simulates all instances and records their runs.
type simulatedDriver struct {
	t      *testing.T
	mutex  sync.Mutex
	random *rand.Rand
	runs   map[string][]*simulatedRun
	// maxConcurrent is the largest number of instances that worked on a call at the same
	// time, by call.
	maxConcurrent map[string]int
	// gone holds the instances that were replaced by another at their address.
	gone map[string]bool
	// offerLogs describes the offers of each call, for error messages.
	offerLogs map[string][]string
}

func newSimulatedDriver(t *testing.T, seed uint64) *simulatedDriver {
	return &simulatedDriver{t: t, random: rand.New(rand.NewPCG(seed, 7)), runs: map[string][]*simulatedRun{}, maxConcurrent: map[string]int{}, gone: map[string]bool{}}
}

func (d *simulatedDriver) pick() (behaviour, time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.random.IntN(3) > 0 {
		return behavesWell, time.Duration(d.random.IntN(40)) * time.Millisecond
	}
	return behaviour(d.random.IntN(int(behaviourCount))), time.Duration(d.random.IntN(200)) * time.Millisecond
}

// override returns the behaviour in place of the one that was picked: instances that are
// gone misdirect, and calls with certain IDs are mostly refused.
func (d *simulatedDriver) override(does behaviour, at, call string) behaviour {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	switch {
	case d.gone[at]:
		return misdirects
	case strings.HasSuffix(call, "7") && does == behavesWell && d.random.IntN(10) > 0:
		return refuses
	}
	return does
}

// begin records the start of a run.
func (d *simulatedDriver) begin(id, at string, until time.Time) *simulatedRun {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.gone[at] { // gone since the behaviour was picked
		until = time.Now()
	}
	run := &simulatedRun{instance: at, until: until}
	d.runs[id] = append(d.runs[id], run)
	working := map[string]bool{}
	for _, other := range d.runs[id] {
		if other.until.After(time.Now()) {
			working[other.instance] = true
		}
	}
	d.maxConcurrent[id] = max(d.maxConcurrent[id], len(working))
	return run
}

// end records that an instance no longer works on a call, or cannot be reached.
func (d *simulatedDriver) end(id, at string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, run := range d.runs[id] {
		if run.instance == at {
			run.until = time.Now()
		}
	}
}

// replace marks an instance as gone and ends its runs.
func (d *simulatedDriver) replace(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.gone[id] = true
	for _, runs := range d.runs {
		for _, run := range runs {
			if run.instance == id {
				run.until = time.Now()
			}
		}
	}
}

func (d *simulatedDriver) isGone(id string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.gone[id]
}

func (d *simulatedDriver) ran(id string) (runs, maxConcurrent int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.runs[id]), d.maxConcurrent[id]
}

// offerLog describes all offers of a call, in order.
func (d *simulatedDriver) offerLog(id string) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return strings.Join(d.offerLogs[id], ", ")
}

// logOffer adds an offer to the log of a call.
func (d *simulatedDriver) logOffer(id string, does behaviour, at string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.offerLogs == nil {
		d.offerLogs = map[string][]string{}
	}
	d.offerLogs[id] = append(d.offerLogs[id], fmt.Sprintf("%s behaviour %v at %s", time.Now().Format("05.000"), does, at))
}

// Send implements Driver.
func (d *simulatedDriver) Send(ctx context.Context, to instance.Instance, outgoing *OutgoingCall) (*Answer, error) {
	does, took := d.pick()
	select {
	case <-ctx.Done():
		return nil, httpconn.ErrNotSent
	case <-time.After(took / 4):
	}
	does = d.override(does, to.ID, outgoing.ID)
	d.logOffer(outgoing.ID, does, to.ID)
	switch does {
	case unreachable:
		d.end(outgoing.ID, to.ID)
		return nil, httpconn.ErrNotSent
	case refuses:
		return answerOf(http.StatusServiceUnavailable, "", true, false), nil
	case misdirects:
		d.replace(to.ID)
		return answerOf(http.StatusMisdirectedRequest, "", true, true), nil
	case resetsBeforeRun:
		return nil, errCut
	}
	d.begin(outgoing.ID, to.ID, time.Now().Add(took))
	if outgoing.Route.Kind == route.KindStream && does != fails && does != losesAnswer && does != hangs {
		return d.stream(ctx, to, outgoing, does), nil
	}
	return d.plain(ctx, to, outgoing, does, took)
}

func (d *simulatedDriver) plain(ctx context.Context, to instance.Instance, outgoing *OutgoingCall, does behaviour, took time.Duration) (*Answer, error) {
	defer d.end(outgoing.ID, to.ID)
	wait := took
	if does == hangs {
		wait = time.Hour
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(wait):
	}
	body := "answer to " + outgoing.ID
	switch does {
	case losesAnswer:
		return nil, errCut
	case fails:
		return answerOf(http.StatusInternalServerError, body, false, false), nil
	case crashesMidway, resetsMidway:
		answer := answerOf(http.StatusOK, body[:3], false, false)
		answer.Body = io.NopCloser(io.MultiReader(strings.NewReader(body[:3]), cutReader{}))
		return answer, nil
	}
	return answerOf(http.StatusOK, body, false, false), nil
}

func answerOf(status int, body string, notRun, other bool) *Answer {
	return &Answer{Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), NotRun: proofOf(notRun, other)}
}

// event returns the text of one event of a call's stream.
func event(call string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, call, number)
}

// stream sends the events that follow the last one the caller has.
func (d *simulatedDriver) stream(ctx context.Context, to instance.Instance, outgoing *OutgoingCall, does behaviour) *Answer {
	reader, writer := io.Pipe()
	first := 1
	if outgoing.ResumeAfter != "" {
		_, _ = fmt.Sscan(outgoing.ResumeAfter, &first)
		first++
	}
	breaks := streamEvents + 1
	if does == crashesMidway || does == resetsMidway {
		breaks = 1 + first%streamEvents
	}
	run := d.begin(outgoing.ID, to.ID, time.Now().Add(time.Hour))
	go func() {
		for number := first; number <= streamEvents; number++ {
			time.Sleep(5 * time.Millisecond)
			text := event(outgoing.ID, number)
			if number >= breaks {
				_, _ = writer.Write([]byte(text[:len(text)/2]))
				d.breakOff(run, does)
				_ = writer.CloseWithError(errCut)
				return
			}
			if _, err := writer.Write([]byte(text)); err != nil {
				break
			}
		}
		d.end(outgoing.ID, to.ID)
		_ = writer.Close()
	}()
	context.AfterFunc(ctx, func() { _ = reader.CloseWithError(ctx.Err()) })
	return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: reader}
}

// breakOff ends a run whose instance crashed; after a connection reset the run goes on for
// a while.
func (d *simulatedDriver) breakOff(run *simulatedRun, does behaviour) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !run.until.After(time.Now()) { // its instance is gone
		return
	}
	run.until = time.Now()
	if does == resetsMidway {
		run.until = run.until.Add(100 * time.Millisecond)
	}
}

// HoldConnection implements Driver.
func (*simulatedDriver) HoldConnection(ctx context.Context, _ instance.Instance) error {
	<-ctx.Done()
	return nil
}

// ConnectToLiving implements Driver.
func (d *simulatedDriver) ConnectToLiving(ctx context.Context, to instance.Instance) error {
	return d.Connect(ctx, to, 0)
}

// Connect implements Driver.
func (d *simulatedDriver) Connect(context.Context, instance.Instance, int) error { return nil }
