package relay

import (
	"cmp"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/route"
)

const (
	// mostEnded is how many back ends one content may end.
	mostEnded = 3
	// retryPause is the time between two requests of a caller.
	retryPause = 100 * time.Millisecond
	// bystanders is the number of callers whose contents harm nothing.
	bystanders = 12
)

func newFragileFleet(t *testing.T, kind route.Kind, attempts int) *fragileFleet {
	f := &fragileFleet{fragile: newFragileEngines()}
	f.versionFleet = newVersionFleetOf(t, f.fragile)
	f.route.Kind, f.route.MaxAttempts = kind, attempts
	f.route.Resumable = kind == kindStream
	for number := range fragileCount {
		id := fmt.Sprint("f", number)
		f.fragile.start(id)
		f.addToList(id)
	}
	f.relist()
	return f
}

// poisonCase sends one content, under which engines end, again and again.
type poisonCase struct {
	name     string
	kind     route.Kind
	attempts int
	tries    int
	// prepare changes the fleet before the first try, and beforeTry before each; both may be nil.
	prepare   func(f *fragileFleet)
	beforeTry func(f *fragileFleet, try int)
	makeCall  func(f *fragileFleet, try int) *Call
	// isTogether: all tries but the first are sent at the same moment.
	isTogether bool
	// losesCallers: requests in progress are lost, as daemons are killed.
	losesCallers bool
	// patience is when callers leave, 0 for never, and stopAfter when the daemon that runs a try
	// reaches its shutdown deadline; it is replaced by another one.
	patience, stopAfter time.Duration
	// pause is the time between two tries, 0 for retryPause.
	pause time.Duration
}

// asTurn returns the next try as a turn of a program.
func asTurn(f *fragileFleet, try int) *Call {
	call := newTurn(f.route)
	call.Program.ID = fmt.Sprint("program-", try%2)
	call.Program.BudgetTokens = 1000
	return call
}

var poisonCases = []poisonCase{
	{name: "repeatable, three attempts", kind: route.KindRepeatable, attempts: 3, tries: 4},
	{name: "repeatable, one attempt", kind: route.KindRepeatable, attempts: 1, tries: 6},
	{name: "repeatable, five attempts", kind: route.KindRepeatable, attempts: 5, tries: 3},
	{name: "not repeatable", kind: route.KindOnce, attempts: 1, tries: 6},
	{name: "resumable stream", kind: kindStream, attempts: 3, tries: 4},
	{name: "resumable stream, one attempt", kind: kindStream, attempts: 1, tries: 4},
	{
		name: "resumable stream that had events", kind: kindStream, attempts: 3, tries: 4,
		prepare: func(f *fragileFleet) { f.fragile.eventBeforeEnd = true },
	},
	{
		name: "resumed by its caller", kind: kindStream, attempts: 1, tries: 6,
		prepare: func(f *fragileFleet) { f.fragile.eventBeforeEnd = true },
		makeCall: func(f *fragileFleet, try int) *Call {
			call := newCall(f.route)
			if try > 0 {
				call.ResumeAfter = "1"
			}
			return call
		},
	},
	{name: "turns of two programs", kind: kindStream, attempts: 1, tries: 6, makeCall: asTurn},
	{
		name: "routes that are not resumable", kind: kindStream, attempts: 1, tries: 6,
		prepare: func(f *fragileFleet) { f.route.Resumable = false },
	},
	{
		name: "engines that start again under their ID", kind: route.KindRepeatable, attempts: 3, tries: 4,
		prepare: func(f *fragileFleet) { f.fragile.restartAfter = 500 * time.Millisecond },
	},
	{
		name: "engines that end silently", kind: route.KindRepeatable, attempts: 1, tries: 5,
		prepare: func(f *fragileFleet) { f.fragile.endsSilently = true },
	},
	{
		name: "engines that accept connections for a moment after their end", kind: route.KindRepeatable, attempts: 1, tries: 6,
		prepare: func(f *fragileFleet) { f.fragile.acceptsAfterEnd = 2 * time.Millisecond },
	},
	{name: "all at the same moment, after the first", kind: route.KindRepeatable, attempts: 1, tries: 9, isTogether: true},
	{name: "the same as turns", kind: kindStream, attempts: 1, tries: 9, isTogether: true, makeCall: asTurn},
	{
		name: "the daemon that saw each end is killed", kind: route.KindRepeatable, attempts: 1, tries: 6, losesCallers: true,
		beforeTry: func(f *fragileFleet, try int) {
			if try > 0 {
				f.killDaemon(f.daemonAt(try - 1))
				f.start((try - 1) % fleetDaemons)
			}
		},
	},
	{name: "callers leave before the engines end", kind: route.KindRepeatable, attempts: 3, tries: 6, patience: deadlyAfter / 2},
	{name: "callers leave and are back at once", kind: route.KindRepeatable, attempts: 3, tries: 9, patience: deadlyAfter / 2, pause: deadlyAfter / 8},
	{name: "all leave at the same moment, after the first", kind: route.KindRepeatable, attempts: 1, tries: 9, isTogether: true, patience: deadlyAfter / 2},
	{name: "callers leave, not repeatable", kind: route.KindOnce, attempts: 1, tries: 6, patience: deadlyAfter / 2},
	{name: "callers of streams leave", kind: kindStream, attempts: 3, tries: 6, patience: deadlyAfter / 2},
	{name: "callers leave turns", kind: kindStream, attempts: 3, tries: 6, patience: deadlyAfter / 2, makeCall: asTurn},
	{
		name: "callers leave after an event", kind: kindStream, attempts: 3, tries: 6, patience: deadlyAfter / 2,
		prepare: func(f *fragileFleet) { f.fragile.eventBeforeEnd = true },
	},
	{
		name: "callers leave engines that start again under their ID", kind: route.KindRepeatable, attempts: 1, tries: 6, patience: deadlyAfter / 2,
		prepare: func(f *fragileFleet) { f.fragile.restartAfter = 500 * time.Millisecond },
	},
	{
		name: "daemons stop before the engines end", kind: route.KindRepeatable, attempts: 3, tries: 6, losesCallers: true,
		stopAfter: deadlyAfter / 2,
	},
	{name: "daemons stop while they pass streams on", kind: kindStream, attempts: 3, tries: 6, losesCallers: true, stopAfter: deadlyAfter / 2},
	{
		name: "all daemons are killed", kind: route.KindRepeatable, attempts: 1, tries: 6, losesCallers: true,
		beforeTry: func(f *fragileFleet, try int) {
			if try == 2 || try == 4 {
				f.killAll()
				for number := range fleetDaemons {
					f.start(number)
				}
				time.Sleep(time.Second)
			}
		},
	},
	{
		name: "the store is out", kind: route.KindRepeatable, attempts: 3, tries: 4,
		prepare: func(f *fragileFleet) { f.store.SetDown(true) },
	},
	{
		name: "the store goes out between two tries", kind: route.KindRepeatable, attempts: 1, tries: 6,
		beforeTry: func(f *fragileFleet, try int) { f.store.SetDown(try == 1 || try == 3) },
	},
	{
		name: "the store is slow", kind: route.KindRepeatable, attempts: 3, tries: 4,
		prepare: func(f *fragileFleet) { f.store.SetDelay(200 * time.Millisecond) },
	},
}

func TestOneContentEndsAtMostThreeBackEnds(t *testing.T) {
	for _, c := range poisonCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { c.play(t) })
		})
	}
}

// play sends the content, with callers of other contents beside it.
func (c *poisonCase) play(t *testing.T) {
	f := newFragileFleet(t, c.kind, c.attempts)
	if c.prepare != nil {
		c.prepare(f)
	}
	stop := f.startBystanders(t, c.losesCallers)
	body := deadlyMark + " text"
	tries := c.sendAll(f, body)
	stop()
	received, ended := f.fragile.counts(body)
	t.Logf("%d tries: sent to engines %d times, which ended %d", len(tries), received, ended)
	if ended > mostEnded || received > mostEnded {
		t.Errorf("sent to engines %d times, which ended %d; want at most %d", received, ended, mostEnded)
	}
	f.checkAnswers(t, tries)
	if ended == mostEnded {
		f.checkFurtherTries(t, c, body)
	}
}

// checkAnswers checks that no try was answered, and that none which ran was told that it did not.
func (f *fragileFleet) checkAnswers(t *testing.T, tries []contentAnswer) {
	for number, answer := range tries {
		if answer.status == http.StatusOK && answer.ended {
			t.Errorf("try %d was answered", number)
		}
		if answer.refusal != nil && answer.refusal.Reason.PromisesNotRun() && f.fragile.hasRun(answer.request) {
			t.Errorf("try %d ran and was refused with %s", number, answer.refusal.Reason)
		}
	}
}

// checkFurtherTries checks that a content which is not sent any more is refused at once, with the
// same answer by each daemon.
func (f *fragileFleet) checkFurtherTries(t *testing.T, c *poisonCase, body string) {
	f.store.SetDown(false)
	time.Sleep(5 * time.Second) // until a store that was out or slow has shown all ends
	for number := range 2 * fleetDaemons {
		caller := &contentCaller{fleet: f, body: body}
		if c.makeCall != nil {
			caller.makeCall = func() *Call { return c.makeCall(f, 0) }
		}
		answer := caller.send(f.daemonAt(number))
		if answer.refusal == nil || *answer.refusal != endsBackEndsRefusal {
			t.Errorf("a further try is answered with %d, refused with %+v", answer.status, answer.refusal)
		}
		if answer.took > promptRefusal {
			t.Errorf("a further try is refused after %s", answer.took)
		}
	}
}

// sendAll sends a content as often as the case says, each time to the next daemon.
func (c *poisonCase) sendAll(f *fragileFleet, body string) []contentAnswer {
	answers := make([]contentAnswer, c.tries)
	send := func(try int) {
		caller := &contentCaller{fleet: f, body: body, patience: c.patience, stopAfter: c.stopAfter}
		if c.makeCall != nil {
			caller.makeCall = func() *Call { return c.makeCall(f, try) }
		}
		daemon := f.daemonAt(try)
		answers[try] = caller.send(daemon)
		if c.stopAfter > 0 {
			f.finish(daemon)
			f.start(try % fleetDaemons)
		}
	}
	var together sync.WaitGroup
	for try := range c.tries {
		if c.beforeTry != nil {
			c.beforeTry(f, try)
		}
		if c.isTogether && try > 0 {
			together.Go(func() { send(try) })
			continue
		}
		send(try)
		time.Sleep(cmp.Or(c.pause, retryPause))
	}
	together.Wait()
	return answers
}

// startBystanders starts callers whose contents harm nothing. The returned function stops them,
// and checks that each of their requests was answered in the end.
func (f *fragileFleet) startBystanders(t *testing.T, loseCallers bool) (stop func()) {
	var stopping atomic.Bool
	var callers sync.WaitGroup
	var served, unserved atomic.Int64
	for number := range bystanders {
		callers.Go(func() {
			for round := 0; !stopping.Load(); round++ {
				caller := &contentCaller{fleet: f, body: fmt.Sprintf("harmless %d %d", number, round)}
				if f.isServed(caller, number) {
					served.Add(1)
				} else {
					unserved.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return func() {
		stopping.Store(true)
		callers.Wait()
		t.Logf("others: %d served, %d not", served.Load(), unserved.Load())
		if unserved.Load() > 0 && !loseCallers {
			t.Errorf("%d requests of other contents were not answered, %d were", unserved.Load(), served.Load())
		}
	}
}

// bystanderTries is how often a caller sends a content whose back ends end.
const bystanderTries = 3

// isServed sends a content to one daemon after the other until it is answered.
func (f *fragileFleet) isServed(caller *contentCaller, daemon int) bool {
	for try := range bystanderTries {
		for len(f.living()) == 0 {
			time.Sleep(retryPause)
		}
		answer := caller.send(f.daemonAt(daemon + try))
		if answer.status == http.StatusOK && !answer.aborted {
			return true
		}
		if answer.refusal != nil && answer.refusal.Reason == ReasonEndsBackEnds {
			f.t.Errorf("%s is refused as if it ended back ends", caller.body)
		}
		time.Sleep(retryPause)
	}
	return false
}

// In each of three failures a third of the engines ends, with whatever they run, or ran until its caller
// left.
func TestContentsAreServedWhileBackEndsEnd(t *testing.T) {
	for name, c := range map[string]failureCase{
		"callers wait":                                              {contents: 40},
		"callers leave each second request":                         {contents: 40, patience: usualRun / 2},
		"contents with many callers":                                {contents: 3},
		"contents with many callers that leave each second request": {contents: 3, patience: usualRun / 2},
		"contents with many callers, long runs":                     {contents: 3, runTime: 400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { c.play(t) })
		})
	}
}

// failureCase ends engines under callers.
type failureCase struct {
	// contents is the number of contents that all callers send.
	contents int
	// patience is when callers leave every second request, 0 for never, and runTime how long engines
	// take, 0 for usualRun.
	patience, runTime time.Duration
}

func (c *failureCase) play(t *testing.T) {
	const callersCount, failures, perFailure = 40, 3, 10
	f := newFragileFleet(t, route.KindRepeatable, 3)
	f.fragile.runTime = c.runTime
	var stopping atomic.Bool
	var callers sync.WaitGroup
	var served, unserved atomic.Int64
	for number := range callersCount {
		callers.Go(func() {
			caller := &contentCaller{fleet: f, body: fmt.Sprint("content ", number%c.contents)}
			for !stopping.Load() {
				if c.patience > 0 {
					caller.leave(f.daemonAt(number), c.patience)
				}
				if f.isServed(caller, number) {
					served.Add(1)
				} else {
					unserved.Add(1)
				}
			}
		})
	}
	time.Sleep(2 * time.Second) // until daemons have seen answers to contents of one shape
	for failure := range failures {
		time.Sleep(500 * time.Millisecond)
		for _, id := range f.fragile.runningIDs()[:perFailure] {
			f.fragile.end(id)
		}
		time.Sleep(500 * time.Millisecond)
		for number := range perFailure {
			f.fragile.start(fmt.Sprint("g", failure, "-", number))
		}
		f.relistRunning()
	}
	stopping.Store(true)
	callers.Wait()
	t.Logf("%d requests served, %d not", served.Load(), unserved.Load())
	if unserved.Load() > 0 {
		t.Errorf("%d requests were not served, %d were", unserved.Load(), served.Load())
	}
}

// relistRunning lists the engines that run.
func (f *fragileFleet) relistRunning() {
	f.list = []instance.Instance{}
	for _, id := range f.fragile.runningIDs() {
		f.addToList(id)
	}
	f.relist()
}
