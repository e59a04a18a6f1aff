package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The case "chain": an operator adds a route that keeps turns for longer than the one under which the
// chains began.

const (
	longPath      = "/lohu930/long/4b"
	chainPrograms = 16
	// shortRetention and longRetention are the seconds for which the first and the added route keep
	// turns.
	shortRetention = 15.0
	longRetention  = 60.0
	// applyTime is the bound configApplyMs, with some time more.
	applyTime = 3 * time.Second
	// chainPause is how long the programs rest: longer than the first route keeps turns, and shorter
	// than the added one does.
	chainPause = 35 * time.Second
	longRoute  = `{"name":"r-long","host":"ficu95.example","pathPrefix":"/lohu930/long/","kind":"stream","timeoutMs":4000,"targetLatencyMs":200,"priority":1,"service":"huvo11a","maxAttempts":1,"retainContext":true,"retentionS":60.0,"sticky":true,"resumable":false,"gapAimMs":200},`
)

// playChain reports whether a turn was answered 404 although the turn before it is kept. With trouble
// the longer route is added after the first turns; otherwise it is there from the start.
func playChain(b *bed, trouble bool) (broken bool, err error) {
	if err := b.addEngines(engineKind{service: "huvo11a", slots: 12, queue: 36}, 4); err != nil {
		return false, err
	}
	short := strings.Replace(turnConfiguration, `"retentionS":60.0`, fmt.Sprintf(`"retentionS":%.1f`, shortRetention), 1)
	longer := strings.Replace(short, `"version":7,"routes":[`, `"version":9,"routes":[`+longRoute, 1)
	if trouble {
		b.configure(short)
	} else {
		b.configure(longer)
	}
	if err := b.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	agents := make([]*agent, chainPrograms)
	for i := range agents {
		agents[i] = newAgent(8 * turnTokens)
	}
	b.recorder.tell("First turns, by status: %v.", takeTurns(b, agents))
	if trouble {
		b.configure(longer)
	}
	time.Sleep(applyTime)
	second := takeTurns(b, agents)
	b.recorder.tell("Second turns, by status: %v.", second)
	if second[http.StatusOK] != len(agents) {
		return false, errors.New("a second turn was not answered")
	}
	time.Sleep(chainPause)
	statuses := takeTurns(b, agents)
	b.recorder.tell("Third turns %s later, by status: %v. The second ones are kept for %.0f s.", chainPause, statuses, longRetention)
	return statuses[http.StatusNotFound]+statuses[http.StatusGone] > 0, nil
}

// takeTurns sends the next turn of each agent, and returns the answers by status.
func takeTurns(b *bed, agents []*agent) map[int]int {
	statuses := map[int]int{}
	var group sync.WaitGroup
	var mutex sync.Mutex
	for i, a := range agents {
		group.Go(func() {
			turn := a.turn(1000)
			turn.path = longPath
			got := do(b.daemons[i%len(b.daemons)], turn)
			b.recorder.note("program %s: turn %s after %q: %s", a.program, turn.id, a.last, got.describe())
			mutex.Lock()
			defer mutex.Unlock()
			statuses[got.status]++
			if got.status == http.StatusOK && got.isWhole {
				a.last = turn.id
			}
		})
	}
	group.Wait()
	return statuses
}
