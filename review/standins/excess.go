package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The case "excess": engines send a share of their answers a second time, late.

const (
	unsafePath = "/puxa403/2f"
	// unsafeRate is how many requests a second clients send.
	unsafeRate = 160.0
	// garbleTime and garblePause are the times with and without the disruption, garbleSpans their number.
	garbleTime  = 5 * time.Second
	garblePause = time.Second
	garbleSpans = 14
	// garbleShare is the share of answers that are sent again.
	garbleShare    = 0.03
	unsafeDeadline = 2 * time.Second
	unsafeRetries  = 2
	meanWork       = 69.4
	longestWork    = 297.0
)

const unsafeConfiguration = `{"version":7,"routes":[{"name":"r-price","host":"ficu95.example","pathPrefix":"/puxa403/","kind":"unsafe","timeoutMs":2000,"targetLatencyMs":300,"priority":2,"service":"wuno96b"}],"services":[{"name":"wuno96b","healthCheck":"/health","maxConnections":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

func priceWork() time.Duration {
	return time.Duration(min(rand.ExpFloat64()*meanWork, longestWork) * float64(time.Millisecond))
}

func playExcess(b *bed, trouble bool) (broken bool, err error) {
	if err := b.addEngines(engineKind{service: "wuno96b", slots: 6, work: priceWork}, 2); err != nil {
		return false, err
	}
	b.configure(unsafeConfiguration)
	if err := b.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mutex sync.Mutex
	statuses := map[int]int{}
	promised := map[string]int{}
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / unsafeRate * float64(time.Second))):
			}
			clients.Go(func() {
				for try := range 1 + unsafeRetries {
					r := request{id: newID(), method: http.MethodPost, path: unsafePath, body: strings.Repeat("o", 600), deadline: unsafeDeadline}
					got := do(b.daemons[(i+try)%len(b.daemons)], r)
					mutex.Lock()
					statuses[got.status]++
					if got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests {
						promised[r.id] = got.status
					}
					mutex.Unlock()
					b.recorder.note("client: request %s, try %d: %s", r.id, try+1, got.describe())
					if got.status != http.StatusServiceUnavailable {
						return
					}
					time.Sleep(min(got.retryAfter(), (unsafeDeadline-got.took)/3))
				}
			})
		}
	})
	for span := range garbleSpans {
		if trouble {
			b.recorder.note("engine %s: span %d, %.0f in 100 answers are sent a second time", b.engines[0].id, span+1, 100*garbleShare)
			b.engines[0].setGarbling(garbling{share: garbleShare, minLate: 10 * time.Millisecond, maxLate: 150 * time.Millisecond})
		}
		time.Sleep(garbleTime)
		b.engines[0].setGarbling(garbling{})
		time.Sleep(garblePause)
	}
	close(stop)
	clients.Wait()
	time.Sleep(time.Second)
	twice, ranAfterPromise := 0, 0
	b.journal.mutex.Lock()
	for id, runs := range b.journal.byID {
		if len(runs) > 1 {
			twice++
			b.recorder.note("request %s ran %d times", id, len(runs))
		}
		if promised[id] != 0 {
			ranAfterPromise++
			b.recorder.note("request %s was answered %d and ran", id, promised[id])
		}
	}
	total := len(b.journal.byID)
	b.journal.mutex.Unlock()
	b.recorder.tell("Requests that ran: %d. More than once: %d. Refused with a promise, and run: %d. Answers by status: %v.", total, twice, ranAfterPromise, statuses)
	return twice+ranAfterPromise > 0, nil
}
