package main

import (
	"context"
	"fmt"
	"slices"
	"time"
)

const pathConfiguration = `{"version":1,"routes":[
 {"name":"root","host":"fleet.example","pathPrefix":"/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":500,"priority":2,"service":"orders","maxAttempts":1}],
 "services":[{"name":"orders","healthCheck":"/health","maxConnections":110,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// playPath sends requests to a route with the prefix "/". With the disruption, their paths begin with
// two slashes.
func playPath(ctx context.Context, r *record, isTroubled bool) (breaches []string, err error) {
	f, err := newFleet(r, 2, pathConfiguration)
	if err != nil {
		return nil, err
	}
	defer f.close()
	s, err := newServer(r, "i-1", answerDone)
	if err != nil {
		return nil, err
	}
	f.writeServer(ctx, s.id, "orders", s.address(), 6)
	if err := f.startAll(); err != nil {
		return nil, err
	}
	target := "/orders/2f?shop=7"
	if isTroubled {
		target = "/" + target
	}
	sent := map[string]string{}
	for number := range 10 {
		id := fmt.Sprintf("%016x", number+1)
		sent[id] = target
		f.send(f.daemons[number%len(f.daemons)], "POST", target, id, "rolls=20", map[string]string{"Deadline-Ms": "3000"})
		time.Sleep(50 * time.Millisecond)
	}
	ran := s.ran()
	if !isTroubled && len(ran) != len(sent) {
		return nil, fmt.Errorf("only %d of %d undisturbed requests were run", len(ran), len(sent))
	}
	for _, request := range ran {
		id := request.header.Get("Request-Id")
		if wanted, isKnown := sent[id]; !isKnown || request.target != wanted {
			breaches = append(breaches, fmt.Sprintf("UNASKED: the server ran request %s as %s, sent as %s", id, request.target, wanted))
		}
	}
	slices.Sort(breaches)
	return breaches, nil
}
