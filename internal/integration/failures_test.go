//go:build integration

package integration

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// checkRanOnce fails the test unless every order ran exactly once.
func (f *fleet) checkRanOnce(callers []*caller, request string) {
	f.t.Helper()
	runs := f.runs()
	for _, c := range callers {
		if count := runs[c.attempt(request)]; count != 1 {
			f.t.Errorf("order %s of %s ran %d times", request, c.name, count)
		}
	}
}

// placeOrders starts one order from each of count programs, 20 ms apart, and calls
// whileRunning. It returns once all orders have succeeded or failed.
func (f *fleet) placeOrders(prefix string, count int, within time.Duration, whileRunning func()) []*caller {
	f.t.Helper()
	callers := make([]*caller, count)
	failures := make([]error, count)
	var group sync.WaitGroup
	for i := range callers {
		callers[i] = f.newCaller(fmt.Sprintf("%s-%d", prefix, i))
		group.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			failures[i] = callers[i].retryOrder("bread", within)
		})
	}
	whileRunning()
	group.Wait()
	for i, err := range failures {
		if err != nil {
			f.t.Errorf("order of %s: %v", callers[i].name, err)
		}
	}
	return callers
}

func TestKilledDaemonLosesNoStreamOrOrder(t *testing.T) {
	f := newFleet(t)
	const tokens = 300
	c := f.newCaller("kill-stream")
	whole, err := c.completeDirectly(tokens)
	if err != nil {
		t.Fatal(err)
	}
	var got answer
	killed := false
	err = c.streamCompletion(context.Background(), f.members[0].http, "r1", tokens, &got, func() {
		if !killed && len(got.text) > 40 {
			killed = true
			f.members[0].process.kill()
		}
	})
	if !killed || (err == nil && got.text != whole) {
		t.Fatalf("daemon killed: %v, after %d bytes; error %v", killed, len(got.text), err)
	}
	began := time.Now()
	for try := 1; !got.finished && time.Since(began) < 20*time.Second; try++ {
		err = c.streamCompletion(context.Background(), f.members[1+try%2].http, "r1", tokens, &got, nil)
	}
	if got.text != whole {
		t.Errorf("after the kill (error %v): got %d bytes, want %d\n got %.80q\nwant %.80q", err, len(got.text), len(whole), got.text, whole)
	}
	f.members = f.members[1:]
	callers := f.placeOrders("after-kill", 20, 20*time.Second, func() {})
	f.checkRanOnce(callers, "bread")
}

func TestKillDuringOrders(t *testing.T) {
	f := newFleet(t)
	callers := f.placeOrders("kill", 60, 30*time.Second, func() {
		time.Sleep(400 * time.Millisecond)
		f.members[2].process.kill()
		time.Sleep(3 * time.Second)
		f.startDaemon(f.members[2])
	})
	f.checkRanOnce(callers, "bread")
}

func TestPausedDaemonResumesAfterTakeover(t *testing.T) {
	f := newFleet(t)
	paused := f.members[0].process
	callers := f.placeOrders("pause", 60, 40*time.Second, func() {
		time.Sleep(400 * time.Millisecond)
		paused.signal(syscall.SIGSTOP)
		time.Sleep(6 * time.Second)
		paused.signal(syscall.SIGCONT)
	})
	f.checkRanOnce(callers, "bread")
	after := f.placeOrders("woken", 12, 20*time.Second, func() {})
	f.checkRanOnce(after, "bread")
}

func TestOneWayCutAndDelay(t *testing.T) {
	f := newFleet(t)
	callers := f.placeOrders("cut", 40, 40*time.Second, func() {
		f.setFaults("peer-b", `{"to_target":{"hold":true}}`)
		time.Sleep(4 * time.Second)
		f.setFaults("peer-b", `{"to_target":{"delay":"30ms","jitter":"100ms"}}`)
		f.setFaults("peer-c", `{"to_target":{"delay":"10ms","jitter":"50ms"}}`)
		time.Sleep(2 * time.Second)
		f.setFaults("peer-b", `{}`)
		f.setFaults("peer-c", `{}`)
	})
	f.checkRanOnce(callers, "bread")
}

func TestApplicationAnswersAreLost(t *testing.T) {
	f := newFleet(t)
	callers := f.placeOrders("lost", 20, 40*time.Second, func() {
		f.setFaults("application", `{"to_client":{"drop":true}}`)
		time.Sleep(1500 * time.Millisecond)
		f.setFaults("application", `{}`)
	})
	f.checkRanOnce(callers, "bread")
}

func TestHalfClosedConnections(t *testing.T) {
	f := newFleet(t)
	callers := f.placeOrders("half", 30, 40*time.Second, func() {
		for _, side := range []string{"client", "target"} {
			time.Sleep(300 * time.Millisecond)
			sendJSON(t, http.MethodPost, "http://"+f.proxy+"/routes/peer-a/half_close?side="+side, "")
			sendJSON(t, http.MethodPost, "http://"+f.proxy+"/routes/application/half_close?side="+side, "")
		}
	})
	f.checkRanOnce(callers, "bread")
}

func TestDaemonDiesWhileLogServiceIsDown(t *testing.T) {
	f := newFleet(t)
	f.setFaults("log", `{"refuse":true}`)
	sendJSON(t, http.MethodPost, "http://"+f.proxy+"/routes/log/cut", "")
	callers := f.placeOrders("log-down", 30, 30*time.Second, func() {
		time.Sleep(300 * time.Millisecond)
		f.members[1].process.kill()
	})
	f.checkRanOnce(callers, "bread")
	f.setFaults("log", `{}`)
	f.startDaemon(f.members[1])
	f.publish("after-outage", "models:\n  later: {prompt_cost: 1, completion_cost: 1, context_tokens: 1000}\n")
	eventually(t, 20*time.Second, "the restarted daemon is ready", func() bool { return ready(f.members[1].listenHTTP) })
}

func TestPlannedShutdownAbortsNoStream(t *testing.T) {
	f := newFleet(t)
	const tokens = 300
	c := f.newCaller("stop-stream")
	whole, err := c.completeDirectly(tokens)
	if err != nil {
		t.Fatal(err)
	}
	var got answer
	stopped := false
	err = c.streamCompletion(context.Background(), f.members[0].http, "r1", tokens, &got, func() {
		if !stopped && len(got.text) > 40 {
			stopped = true
			f.members[0].process.signal(syscall.SIGTERM)
		}
	})
	if err != nil || got.text != whole || !stopped {
		t.Errorf("shutdown requested: %v; error %v; got %d bytes, want %d", stopped, err, len(got.text), len(whole))
	}
	select {
	case <-f.members[0].process.ended:
	case <-time.After(20 * time.Second):
		t.Error("the daemon has not ended after its last request")
	}
	f.members = f.members[1:]
	callers := f.placeOrders("after-stop", 10, 20*time.Second, func() {})
	f.checkRanOnce(callers, "bread")
}

func TestRefusalsWithoutMajorityAreNotRun(t *testing.T) {
	f := newFleet(t)
	f.members[1].process.kill()
	f.members[2].process.kill()
	refused := f.collectRefusals(3)
	runs := f.runs()
	for _, c := range refused {
		if count := runs[c.attempt("bread")]; count != 0 {
			t.Errorf("%s was refused as not run but ran %d times", c.name, count)
		}
	}
}

// collectRefusals places orders of new programs at the one daemon that is left
// until count of them were refused as not run, and returns all callers that were.
// Orders do not wait for each other: one that arrives before the daemon has
// noticed the loss of its majority is answered only at its deadline of 8 s.
func (f *fleet) collectRefusals(count int) []*caller {
	f.t.Helper()
	var mutex sync.Mutex
	var refused []*caller
	var group sync.WaitGroup
	tries := 0
	eventually(f.t, startTimeout, "a shard without a majority refuses", func() bool {
		c := f.newCaller(fmt.Sprintf("alone-%d", tries))
		tries++
		group.Go(func() {
			err := c.placeOrder(f.members[0], "bread", false)
			mutex.Lock()
			defer mutex.Unlock()
			if errors.Is(err, errNotRun) {
				refused = append(refused, c)
			}
		})
		time.Sleep(200 * time.Millisecond)
		mutex.Lock()
		defer mutex.Unlock()
		return len(refused) >= count
	})
	group.Wait()
	f.t.Logf("%d of %d orders refused as not run", len(refused), tries)
	return refused
}
