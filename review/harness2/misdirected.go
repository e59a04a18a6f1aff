package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	misdirectedConfiguration = `{"version":1,"routes":[
 {"name":"orders","host":"fleet.example","pathPrefix":"/orders/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":500,"priority":2,"service":"orders","maxAttempts":1}],
 "services":[{"name":"orders","healthCheck":"/health","maxConnections":110,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
	// misdirectedServers are as many servers as a service of a small site has.
	misdirectedServers = 4
	// misdirectedOrders orders are sent, orderPause apart.
	misdirectedOrders = 4
	orderPause        = time.Second
)

// promisesNotRun are the statuses by which an answer promises that the request has not run and never will.
var promisesNotRun = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// playMisdirected sends orders that the servers book, and whose shop they name as that of another
// bakery: with status 421 with the disruption, and with 409 without.
func playMisdirected(ctx context.Context, r *record, isTroubled bool) (breaches []string, err error) {
	f, err := newFleet(r, 2, misdirectedConfiguration)
	if err != nil {
		return nil, err
	}
	defer f.close()
	status := http.StatusConflict
	if isTroubled {
		status = http.StatusMisdirectedRequest
	}
	var servers []*server
	for number := range misdirectedServers {
		s, err := newServer(r, fmt.Sprintf("i-%d", number+1), func(s *server, request serverRequest) string {
			return s.answerWith(request, status, "text/plain", "booked; the shop belongs to another bakery")
		})
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
		f.writeServer(ctx, s.id, "orders", s.address(), 6)
	}
	if err := f.startAll(); err != nil {
		return nil, err
	}
	for number := range misdirectedOrders {
		id := fmt.Sprintf("%016x", number+1)
		got := f.send(f.daemons[number%len(f.daemons)], "POST", "/orders/2f", id, "rolls=20", map[string]string{"Deadline-Ms": "3000"})
		count := countRuns(servers, id)
		if !isTroubled && (got.status != status || count != 1) {
			return nil, fmt.Errorf("undisturbed order %s: status %d, %d runs", id, got.status, count)
		}
		if count > 1 {
			breaches = append(breaches, fmt.Sprintf("TWICE: order %s, which may run once, ran %d times", id, count))
		}
		if count > 0 && slices.Contains(promisesNotRun, got.status) && got.body != "booked; the shop belongs to another bakery" {
			breaches = append(breaches, fmt.Sprintf("REFUSED: order %s got %d (%.40q) of the system's own, and had run", id, got.status, got.body))
		}
		time.Sleep(orderPause)
	}
	return breaches, nil
}

// countRuns returns how often servers ran a request.
func countRuns(servers []*server, id string) (count int) {
	for _, s := range servers {
		for _, request := range s.ran() {
			if request.header.Get("Request-Id") == id {
				count++
			}
		}
	}
	return count
}
