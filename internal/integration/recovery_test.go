//go:build integration

package integration

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// archiveTimeout bounds the wait for an archive, which is written every 5 s.
	archiveTimeout = 20 * time.Second
	// recoveryTimeout bounds the wait for a shard to recover from its archive.
	recoveryTimeout = 30 * time.Second
	// pollInterval is the pause between two requests.
	pollInterval = 20 * time.Millisecond
)

// recovery is the state of a test in which a fleet loses all its daemons.
type recovery struct {
	*fleet
	// Orders of archivedCallers are in the archive before the loss. Those of
	// recentCallers are answered, but perhaps not archived. Those of
	// interruptedCallers have run, but their answers are lost.
	archivedCallers, recentCallers, interruptedCallers []*caller
	answers                                            map[*caller]string
	// refused are attempts that were refused as not run; they must not run.
	refused []structs.AttemptID
}

// orderOf returns the order of the i-th caller of a group. The application's answer
// depends on the order's length, so that adjacent callers get different answers.
func orderOf(i int) breadOrder {
	loaves := 1
	for range i % 9 {
		loaves *= 10
	}
	return breadOrder{request: "bread", loaves: loaves}
}

// newCallers returns the callers of count programs.
func (r *recovery) newCallers(prefix string, count int) []*caller {
	named := make([]*caller, count)
	for i := range named {
		named[i] = r.newCaller(fmt.Sprintf("%s-%d", prefix, i))
	}
	return named
}

// TestLossOfAllDaemonsIsRecoveredFromTheArchive kills all daemons at once and
// starts them again with no state but the platform's log.
func TestLossOfAllDaemonsIsRecoveredFromTheArchive(t *testing.T) {
	r := &recovery{fleet: newFleet(t), answers: map[*caller]string{}}
	r.archivedCallers = r.placeAnsweredOrders("kept", 24)
	eventually(t, archiveTimeout, "the archive has the outcomes", func() bool {
		archived := r.archivedOrders()
		for _, c := range r.archivedCallers {
			if !archived[c.attempt("bread")] {
				return false
			}
		}
		return true
	})
	r.recentCallers = r.placeAnsweredOrders("late", 6)
	r.killAll(r.interruptOrders(6))
	r.startDaemons()
	r.checkArchived()
	r.checkRecent()
	r.checkInterrupted()
	r.checkUnnumberedRefused(6)
	r.checkExhaustedRefused()
	fresh := r.placeNumberedOrders(24)
	r.checkRuns(fresh)
}

// placeAnsweredOrders places an order of each of count new programs and keeps the
// answers.
func (r *recovery) placeAnsweredOrders(prefix string, count int) []*caller {
	r.t.Helper()
	callers := r.newCallers(prefix, count)
	for i, c := range callers {
		r.answers[c] = r.retryOrderUntilAnswered(c, orderOf(i))
	}
	return callers
}

// retryOrderUntilAnswered sends an order to one daemon after the other until it
// succeeds. It marks the order as a retry once an outcome was unknown.
func (r *recovery) retryOrderUntilAnswered(c *caller, o breadOrder) string {
	r.t.Helper()
	var answer string
	r.pollMembers(func(m *member) (bool, error) {
		var err error
		answer, err = c.send(m, o)
		o.retry = o.retry || errors.Is(err, errUnknown)
		return err == nil, err
	}, "the order of "+c.name+" is answered")
	return answer
}

// pollMembers calls poll for one daemon after the other until it returns true.
func (r *recovery) pollMembers(poll func(m *member) (bool, error), what string) {
	r.t.Helper()
	deadline := time.Now().Add(recoveryTimeout)
	for i := 0; ; i++ {
		done, err := poll(r.members[i%len(r.members)])
		if done {
			return
		}
		if time.Now().After(deadline) {
			r.t.Fatalf("not within %s: %s; last: %v", recoveryTimeout, what, err)
		}
		time.Sleep(pollInterval)
	}
}

// interruptOrders sends orders that run but whose answers never reach a daemon. It
// returns a function that waits for the callers to fail.
func (r *recovery) interruptOrders(count int) func() {
	r.t.Helper()
	r.setFaults("application", `{"to_client":{"hold":true}}`)
	r.interruptedCallers = r.newCallers("torn", count)
	failures := make([]error, count)
	var group sync.WaitGroup
	for i, c := range r.interruptedCallers {
		group.Go(func() { _, failures[i] = c.send(r.members[i%len(r.members)], orderOf(i)) })
	}
	eventually(r.t, startTimeout, "the interrupted orders have run", func() bool {
		runs := r.runs()
		for _, c := range r.interruptedCallers {
			if runs[c.attempt("bread")] == 0 {
				return false
			}
		}
		return true
	})
	return func() {
		group.Wait()
		for i, err := range failures {
			if !errors.Is(err, errUnknown) {
				r.t.Errorf("%s, whose answer was lost, got %v, want an unknown outcome", r.interruptedCallers[i].name, err)
			}
		}
	}
}

// killAll kills all daemons at once and waits for their callers to fail.
func (r *recovery) killAll(callersEnded func()) {
	for _, m := range r.members {
		m.process.signal(syscall.SIGKILL)
	}
	for _, m := range r.members {
		<-m.process.ended
	}
	callersEnded()
	r.setFaults("application", `{}`)
}

// checkArchived checks that archived programs are known and that retries of their
// orders get the same answers.
func (r *recovery) checkArchived() {
	r.t.Helper()
	for i, c := range r.archivedCallers {
		o := orderOf(i)
		o.retry = true
		if answer := r.awaitArchivedAnswer(c, o); answer != r.answers[c] {
			r.t.Errorf("%s: answer %q, before the loss %q", c.name, answer, r.answers[c])
		}
		r.checkRecovered(c)
	}
}

// awaitArchivedAnswer retries an archived order until it is answered. The test fails
// at once if a daemon says that the records are lost.
func (r *recovery) awaitArchivedAnswer(c *caller, o breadOrder) string {
	r.t.Helper()
	var answer string
	r.pollMembers(func(m *member) (bool, error) {
		var err error
		answer, err = c.send(m, o)
		if isRefusedFor(err, structs.ReasonRecordsLost) {
			r.t.Fatalf("%s is archived but got %v", c.name, err)
		}
		return err == nil, err
	}, "the archived answer of "+c.name)
	return answer
}

// programState is the part of a program's state that the test reads.
type programState struct {
	NextSequence uint64 `json:"next_sequence"`
	SettledCalls []struct {
		RequestID structs.RequestID     `json:"request_id"`
		Status    structs.OutcomeStatus `json:"status"`
	} `json:"settled_calls"`
}

// checkRecovered checks that the record of a program has exactly its one order.
func (r *recovery) checkRecovered(c *caller) {
	r.t.Helper()
	var known programState
	r.pollMembers(func(m *member) (bool, error) {
		request, err := http.NewRequest(http.MethodGet, "http://"+m.http+"/v1/programs/"+c.name, nil)
		if err != nil {
			return false, err
		}
		request.Header.Set("Authorization", "Bearer "+tenantKey)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false, err
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != http.StatusOK {
			return false, errors.New(response.Status)
		}
		return true, json.NewDecoder(response.Body).Decode(&known)
	}, "program "+c.name+" is known")
	if known.NextSequence != 2 || len(known.SettledCalls) != 1 || known.SettledCalls[0].Status != structs.OutcomeCompleted {
		r.t.Errorf("%s is recovered as %+v", c.name, known)
	}
}

// checkRecent checks that retries of orders answered shortly before the loss get
// the same answer or are told that the records are lost.
func (r *recovery) checkRecent() {
	r.t.Helper()
	for i, c := range r.recentCallers {
		o := orderOf(i)
		o.retry = true
		r.pollMembers(func(m *member) (bool, error) {
			answer, err := c.send(m, o)
			if err == nil && answer != r.answers[c] {
				r.t.Errorf("%s: answer %q, before the loss %q", c.name, answer, r.answers[c])
			}
			return err == nil || isUnknownAfterLoss(err), err
		}, "an answer to "+c.name)
	}
}

// isUnknownAfterLoss reports whether an order may have run and its records are
// lost.
func isUnknownAfterLoss(err error) bool {
	return errors.Is(err, errUnknown) && isRefusedFor(err, structs.ReasonRecordsLost)
}

// checkInterrupted checks that retries of orders whose answers were lost are told
// that their outcome is unknown.
func (r *recovery) checkInterrupted() {
	r.t.Helper()
	for i, c := range r.interruptedCallers {
		o := orderOf(i)
		o.retry = true
		r.pollMembers(func(m *member) (bool, error) {
			answer, err := c.send(m, o)
			if err == nil {
				r.t.Fatalf("%s got %q, want an unknown outcome", c.name, answer)
			}
			return isUnknownAfterLoss(err), err
		}, c.name+" is told that its outcome is unknown")
	}
}

// checkUnnumberedRefused checks that first orders without a sequence number are
// refused, as their programs may be among the lost ones.
func (r *recovery) checkUnnumberedRefused(count int) {
	r.t.Helper()
	for i := range count {
		try := 0
		r.pollMembers(func(m *member) (bool, error) {
			c := r.newCaller(fmt.Sprintf("unnumbered-%d-%d", i, try))
			try++
			return r.expectRefusal(c, m, orderOf(i), structs.ReasonRecordsLost)
		}, "a refusal for a program that may be lost")
	}
}

// checkExhaustedRefused checks that recovered programs, whose budget is unknown, get
// no further order served.
func (r *recovery) checkExhaustedRefused() {
	r.t.Helper()
	for i, c := range r.archivedCallers {
		try := 0
		r.pollMembers(func(m *member) (bool, error) {
			o := breadOrder{request: fmt.Sprintf("more-%d", try), loaves: 1, sequence: 2}
			try++
			return r.expectRefusal(c, m, o, structs.ReasonBudgetExhausted)
		}, fmt.Sprintf("a refusal for program %d, whose budget is unknown", i))
	}
}

// expectRefusal sends an order that must not be served and records it if it was
// refused as not run. It reports whether it was refused for the given reason.
func (r *recovery) expectRefusal(c *caller, m *member, o breadOrder, reason structs.Reason) (bool, error) {
	r.t.Helper()
	answer, err := c.send(m, o)
	if err == nil {
		r.t.Fatalf("order %s of %s was served: %q", o.request, c.name, answer)
	}
	if !errors.Is(err, errNotRun) {
		return false, err
	}
	r.refused = append(r.refused, c.attempt(o.request))
	return isRefusedFor(err, reason), err
}

// placeNumberedOrders places first orders of new programs with their sequence
// number, which are served.
func (r *recovery) placeNumberedOrders(count int) []*caller {
	r.t.Helper()
	fresh := r.newCallers("fresh", count)
	for i, c := range fresh {
		o := orderOf(i)
		o.sequence = 1
		r.retryOrderUntilAnswered(c, o)
	}
	return fresh
}

// checkRuns compares the outcomes that callers got with how often the application
// ran each order.
func (r *recovery) checkRuns(fresh []*caller) {
	r.t.Helper()
	for _, callers := range [][]*caller{r.archivedCallers, r.recentCallers, r.interruptedCallers, fresh} {
		r.checkRanOnce(callers, "bread")
	}
	runs := r.runs()
	for attempt, count := range runs {
		if count > 1 {
			r.t.Errorf("%s ran %d times", attempt, count)
		}
	}
	for _, attempt := range r.refused {
		if count := runs[attempt]; count != 0 {
			r.t.Errorf("%s was refused as not run but ran %d times", attempt, count)
		}
	}
	r.t.Logf("%d orders refused as not run", len(r.refused))
}
