package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/platform/standin"
)

// The case "backlog": the store is down for some seconds while programs take turns. What the daemons
// could not append meanwhile waits for the store.

const (
	turnPath = "/lohu930/4b"
	// outage is how long the store is down.
	outage = 4500 * time.Millisecond
	// loadPrograms are under way when the store goes down. Each starts subAgents within loadSpread of
	// that moment, whose first turn brings inputBytes: the largest body of the site's turns.
	loadPrograms = 240
	subAgents    = 4
	inputBytes   = 26_000
	loadSpread   = 2 * time.Second
	// watchedPrograms did one turn before the outage and go on after it. Their budget has room for
	// three turns.
	watchedPrograms = 64
	turnTokens      = 72
	turnDeadline    = 4 * time.Second
	// contact is the bound contactMs, with some time more.
	contact = 4 * time.Second
	// watchedTries are the tries of a watched turn: the rule wants five or more that fail.
	watchedTries = 6
	// programAim is the time within which the watched programs should be over.
	programAim = 90 * time.Second
	// firstTurnPause separates the first turns that begin beside the watched ones.
	firstTurnPause = 80 * time.Millisecond
)

const turnConfiguration = `{"version":7,"routes":[{"name":"r-turns","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"stream","timeoutMs":4000,"targetLatencyMs":200,"priority":1,"service":"huvo11a","maxAttempts":1,"retainContext":true,"retentionS":60.0,"sticky":true,"resumable":false,"gapAimMs":200}],"services":[{"name":"huvo11a","healthCheck":"/health","maxConnections":160,"protocol":"h1","tls":false,"engine":{"slots":12,"kvCapacity":127559,"tokensPerEvent":9,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// agent is a line of turns of a program.
type agent struct {
	program, session string
	budget           int
	// last is the turn that the next one goes on from, "" for none.
	last  string
	begun time.Time
}

func newAgent(budget int) *agent {
	return &agent{program: newID(), session: newID(), budget: budget, begun: time.Now()}
}

// turn returns the next turn of a line, with a new id.
func (a *agent) turn(input int) request {
	id := newID()
	left := programAim - time.Since(a.begun)
	headers := map[string]string{
		"Program-Id": a.program, "Session-Id": a.session, "Finish-Ms": fmt.Sprint(left.Milliseconds()),
		"Token-Budget": fmt.Sprint(a.budget), "Token-Usage": fmt.Sprintf("%d,%d", input, turnTokens), "Model": "m",
		"Prompt-Prefix": fmt.Sprintf("%s:%d", id[:8], input),
	}
	if a.last != "" {
		headers["Previous-Turn"] = a.last
	}
	return request{
		id: id, method: http.MethodPost, path: turnPath, headers: headers, deadline: turnDeadline, isStream: true,
		body: id + strings.Repeat(".", max(input-len(id), 0)),
	}
}

// backlog is the state of the case.
type backlog struct {
	*bed
	mutex sync.Mutex
	// firstTurns and firstTurnsRun count the first turns beside the watched ones.
	firstTurns, firstTurnsRun int
}

func playBacklog(b *bed, trouble bool) (broken bool, err error) {
	c := &backlog{bed: b}
	if err := b.addEngines(engineKind{service: "huvo11a", slots: 12, queue: 36}, 11); err != nil {
		return false, err
	}
	b.configure(turnConfiguration)
	if err := b.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	load, watched, err := c.firstTurnsOfAll()
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	c.playOutage(load, trouble)
	b.recorder.note("calm until the daemons have been in touch for contactMs")
	time.Sleep(contact)
	b.journal.resetBusiest()
	lost := c.watch(watched)
	return c.judge(lost), nil
}

// firstTurnsOfAll does the first turn of each program.
func (c *backlog) firstTurnsOfAll() (load, watched []*agent, err error) {
	for range loadPrograms {
		load = append(load, newAgent(40*turnTokens))
	}
	for range watchedPrograms {
		watched = append(watched, newAgent(3*turnTokens))
	}
	var group sync.WaitGroup
	var failed error
	for i, a := range append(append([]*agent(nil), load...), watched...) {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 15 * time.Millisecond)
			turn := a.turn(1000)
			got := do(c.daemons[i%len(c.daemons)], turn)
			c.recorder.note("program %s: first turn %s: %s", a.program, turn.id, got.describe())
			c.mutex.Lock()
			defer c.mutex.Unlock()
			if got.status != http.StatusOK || !got.isWhole {
				failed = fmt.Errorf("a first turn failed before the disruption: %s", got.describe())
			}
			a.last = turn.id
		})
	}
	group.Wait()
	return load, watched, failed
}

// playOutage takes the store down, with trouble, while the load's sub-agents begin.
func (c *backlog) playOutage(load []*agent, trouble bool) {
	if trouble {
		c.recorder.note("store: down, it answers 503 and does nothing")
		c.store.log.SetFault(standin.FaultRefuses)
	}
	var group sync.WaitGroup
	for i, parent := range load {
		for s := range subAgents {
			group.Go(func() {
				time.Sleep(50*time.Millisecond + rand.N(loadSpread))
				child := &agent{program: parent.program, session: newID(), budget: parent.budget, last: parent.last, begun: parent.begun}
				c.sendWithRepeats(child, i+s)
			})
		}
	}
	time.Sleep(outage)
	if trouble {
		c.store.log.SetFault(standin.FaultNone)
		c.recorder.note("store: up again")
	}
	group.Wait()
}

// sendWithRepeats sends a turn, and again from its start up to twice if it fails.
func (c *backlog) sendWithRepeats(a *agent, first int) {
	for try := range 3 {
		turn := a.turn(inputBytes)
		got := do(c.daemons[(first+try)%len(c.daemons)], turn)
		c.recorder.note("program %s: turn %s of a sub-agent, sending %d: %s, runs %d", a.program, turn.id, try+1, got.describe(), len(c.journal.runsOf(turn.id)))
		if got.status == http.StatusOK && got.isWhole {
			return
		}
		time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
	}
}

// watch sends the next turn of the watched programs, and first turns of others beside them. It returns
// the programs whose turn reached no engine.
func (c *backlog) watch(watched []*agent) (lost []*agent) {
	stop := make(chan struct{})
	var beside, group sync.WaitGroup
	beside.Go(func() { c.beginOthers(stop) })
	for i, a := range watched {
		group.Go(func() {
			time.Sleep(rand.N(time.Second))
			if c.goOn(a, i) {
				return
			}
			c.mutex.Lock()
			defer c.mutex.Unlock()
			lost = append(lost, a)
		})
	}
	group.Wait()
	close(stop)
	beside.Wait()
	return lost
}

// goOn sends a watched turn as the clients of the pages do until it reaches an engine, and reports
// whether it did: it is sent up to three times, with one retry each.
func (c *backlog) goOn(a *agent, first int) bool {
	for try := range watchedTries {
		turn := a.turn(1000)
		d := c.daemons[(first+try)%len(c.daemons)]
		got := do(d, turn)
		runs := len(c.journal.runsOf(turn.id))
		c.recorder.note("program %s: turn %s after %s at %s, try %d: %s, runs %d", a.program, turn.id, a.last, d.name, try+1, got.describe(), runs)
		if runs > 0 {
			return true
		}
		pause := 100*time.Millisecond + rand.N(300*time.Millisecond)
		if try%2 == 0 { // the retry heeds Retry-After, up to a third of the time left
			pause = min(got.retryAfter(), (turnDeadline-got.took)/3)
		}
		time.Sleep(pause)
	}
	return false
}

// beginOthers sends first turns of further programs.
func (c *backlog) beginOthers(stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(firstTurnPause):
		}
		group.Go(func() {
			a := newAgent(8 * turnTokens)
			turn := a.turn(1000)
			got := do(c.daemons[i%len(c.daemons)], turn)
			ran := len(c.journal.runsOf(turn.id)) > 0
			c.recorder.note("program %s: first turn %s: %s, run: %v", a.program, turn.id, got.describe(), ran)
			c.mutex.Lock()
			defer c.mutex.Unlock()
			c.firstTurns++
			if ran {
				c.firstTurnsRun++
			}
		})
	}
}

// judge applies the rule LOST to the turns that reached no engine.
func (c *backlog) judge(lost []*agent) bool {
	r := c.recorder
	for key, count := range c.store.refusedPartitions() {
		r.note("store: %d appends to %s were refused as too large", count, key)
	}
	r.tell("Watched programs whose next turn reached no engine in %d tries: %d of %d.", watchedTries, len(lost), watchedPrograms)
	r.tell("First turns of other programs meanwhile: %d, of which reached an engine: %d.", c.firstTurns, c.firstTurnsRun)
	r.tell("Largest share of the engines' places in use meanwhile: %.2f.", c.journal.busiest)
	r.tell("Partitions of which the store refused an append as too large: %d.", len(c.store.refusedPartitions()))
	for _, a := range lost {
		r.note("program %s: its turn %s was answered whole %.1f s ago", a.program, a.last, time.Since(a.begun).Seconds())
	}
	enough := float64(c.firstTurnsRun) >= 0.9*float64(c.firstTurns)
	return len(lost) > 0 && enough && c.journal.busiest < 0.5
}
