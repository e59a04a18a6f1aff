package main

import (
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"
)

// The play "owners" is beside the cases: the daemons are frozen one after the other, while a tenant sends more than its
// limit by way of all of them.

const (
	safePath = "/pule252/2f"
	// The tenant's limit, and the bounds of the rule QUOTA.
	ratePerSecond = 40.0
	burst         = 20.0
	quotaWindow   = 5 * time.Second
	quotaOverage  = 0.1
	quotaSlack    = 20.0
	// sentPause separates the requests that are sent by way of one daemon.
	sentPause = 15 * time.Millisecond
	// freezeTime is how long a daemon is frozen, and freezePause the time between two of them.
	freezeTime   = 3500 * time.Millisecond
	freezePause  = 9 * time.Second
	safeDeadline = 1200 * time.Millisecond
)

const tenantConfiguration = `{"version":7,"routes":[{"name":"r-confirm","host":"ficu95.example","pathPrefix":"/pule252/","kind":"safe","timeoutMs":1200,"targetLatencyMs":150,"priority":2,"service":"wuno96b"}],"services":[{"name":"wuno96b","healthCheck":"/health","maxConnections":400,"protocol":"h1","tls":false}],"tenants":[{"name":"t-one","apiKeys":["key-one"],"ratePerS":40,"burst":20}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// sentRun is a request that ran, with the times at which it was sent and arrived.
type sentRun struct{ sent, arrived time.Time }

func playOwners(b *bed, trouble bool) (broken bool, err error) {
	b.extra = "revocation_milliseconds: 5000\nquota_window_seconds: 5\nquota_overage: 0.1\nquota_slack: 20\n"
	work := func() time.Duration { return 10 * time.Millisecond }
	if err := b.addEngines(engineKind{service: "wuno96b", slots: 6, queue: 24, work: work}, 6); err != nil {
		return false, err
	}
	b.configure(tenantConfiguration)
	if err := b.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mutex sync.Mutex
	sentAt := map[string]time.Time{}
	for _, d := range b.daemons {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(sentPause):
				}
				clients.Go(func() {
					r := request{id: newID(), method: http.MethodGet, path: safePath, headers: map[string]string{"Api-Key": "key-one"}, deadline: safeDeadline}
					mutex.Lock()
					sentAt[r.id] = time.Now()
					mutex.Unlock()
					got := do(d, r)
					b.recorder.note("client: request %s at %s: %s", r.id, d.name, got.describe())
				})
			}
		})
	}
	time.Sleep(freezePause)
	for _, d := range b.daemons {
		if trouble {
			b.recorder.note("%s: frozen", d.name)
			d.signal(syscall.SIGSTOP)
		}
		time.Sleep(freezeTime)
		if trouble {
			d.signal(syscall.SIGCONT)
			b.recorder.note("%s: wakes", d.name)
		}
		time.Sleep(freezePause)
	}
	close(stop)
	clients.Wait()
	return judgeQuota(b, sentAt), nil
}

// judgeQuota looks for the window with most requests that were sent and arrived in it.
func judgeQuota(b *bed, sentAt map[string]time.Time) bool {
	var runs []sentRun
	b.journal.mutex.Lock()
	for _, made := range b.journal.all {
		runs = append(runs, sentRun{sent: sentAt[made.request], arrived: made.at})
	}
	b.journal.mutex.Unlock()
	sort.Slice(runs, func(i, j int) bool { return runs[i].arrived.Before(runs[j].arrived) })
	most, mostAt := 0, time.Time{}
	for _, last := range runs {
		from, count := last.arrived.Add(-quotaWindow), 0
		for _, other := range runs {
			if !other.sent.Before(from) && !other.arrived.After(last.arrived) {
				count++
			}
		}
		if count > most {
			most, mostAt = count, last.arrived
		}
	}
	limit := (ratePerSecond*quotaWindow.Seconds()+burst)*(1+quotaOverage) + quotaSlack
	b.recorder.tell("Requests that ran: %d. Most in a window of %s: %d, which ends at %.1f s. The rule allows %.0f.",
		len(runs), quotaWindow, most, mostAt.Sub(b.recorder.started).Seconds(), limit)
	return float64(most) > limit
}
