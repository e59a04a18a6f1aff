package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/platform/standin"
)

// The play "deadly" is beside the cases: an engine ends whenever it runs a certain body, and its client
// sends that body again and again by way of all daemons. With trouble, the store is down meanwhile.

const (
	// deadlyTries are how often the client sends the body, deadlyPause apart.
	deadlyTries = 12
	deadlyPause = 300 * time.Millisecond
	// replaceAfter is how long after its end an engine is replaced.
	replaceAfter = time.Second
	// endedLimit is how many engines one content may end, by the project's own promise.
	endedLimit = 3
)

const repeatableConfiguration = `{"version":7,"routes":[{"name":"r-confirm","host":"ficu95.example","pathPrefix":"/pule252/","kind":"safe","timeoutMs":1200,"targetLatencyMs":150,"priority":2,"service":"wuno96b","maxAttempts":3}],"services":[{"name":"wuno96b","healthCheck":"/health","maxConnections":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

func playDeadly(b *bed, trouble bool) (broken bool, err error) {
	kind := engineKind{service: "wuno96b", slots: 6, queue: 24, work: func() time.Duration { return 20 * time.Millisecond }}
	if err := b.addEngines(kind, 12); err != nil {
		return false, err
	}
	b.configure(repeatableConfiguration)
	if err := b.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	var mutex sync.Mutex
	ended := 0
	var arm func(e *engine)
	arm = func(e *engine) {
		var once sync.Once
		e.onDeadly = func(id string) {
			once.Do(func() {
				e.crash()
				mutex.Lock()
				ended++
				count := ended
				mutex.Unlock()
				b.recorder.note("engine %s: ended under request %s, %d so far", e.id, id, count)
				time.AfterFunc(replaceAfter, func() {
					b.store.log.Put("keyed.servers", e.id, "")
					next, err := startEngine(kind, fmt.Sprintf("i-again-%d", count), e.zone, b.journal, b.store.log)
					if err == nil {
						arm(next)
						mutex.Lock()
						b.engines = append(b.engines, next)
						mutex.Unlock()
					}
				})
			})
		}
	}
	for _, e := range b.engines {
		arm(e)
	}
	if trouble {
		b.recorder.note("store: down, it answers 503 and does nothing")
		b.store.log.SetFault(standin.FaultRefuses)
		time.AfterFunc(outage, func() { b.store.log.SetFault(standin.FaultNone) })
	}
	for try := range deadlyTries {
		r := request{id: newID(), method: http.MethodPost, path: safePath, body: deadlyBody + "order", deadline: safeDeadline}
		got := do(b.daemons[try%len(b.daemons)], r)
		b.recorder.note("client: try %d, request %s: %s", try+1, r.id, got.describe())
		time.Sleep(deadlyPause)
	}
	time.Sleep(2 * time.Second)
	mutex.Lock()
	defer mutex.Unlock()
	b.recorder.tell("Engines that ended under one content: %d in %d tries; %d is the most by the README.", ended, deadlyTries, endedLimit)
	b.engines = slices.DeleteFunc(b.engines, func(e *engine) bool { return isClosed(e.stop) })
	return ended > endedLimit, nil
}

func isClosed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}
