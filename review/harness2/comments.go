package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

const (
	commentsConfiguration = `{"version":1,"routes":[
 {"name":"chat","host":"fleet.example","pathPrefix":"/chat/","kind":"stream","timeoutMs":4000,"targetLatencyMs":200,"priority":1,"service":"engines","maxAttempts":1,"retainContext":true,"retentionS":60,"sticky":true,"resumable":false,"gapAimMs":200}],
 "services":[{"name":"engines","healthCheck":"/health","maxConnections":160,"protocol":"h1","tls":false,"engine":{"slots":12,"kvCapacity":127559,"tokensPerEvent":9,"models":[{"name":"m"}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
	// programs are played, each of programTurns turns.
	programs     = 4
	programTurns = 3
	// keepAliveComment is a comment of an event stream, which is no event.
	keepAliveComment = ": keep-alive\n\n"
)

// turnEvents returns the data of the events of the answer to a turn.
func turnEvents(id string) []string { return []string{"first-" + id, "second-" + id, "third-" + id} }

// playComments plays programs whose routes keep what was said. With the disruption, the engine sends a
// comment between two events of each answer, as servers of event streams do to keep connections open.
func playComments(ctx context.Context, r *record, isTroubled bool) (breaches []string, err error) {
	f, err := newFleet(r, 2, commentsConfiguration)
	if err != nil {
		return nil, err
	}
	defer f.close()
	engine, err := newServer(r, "i-1", func(s *server, request serverRequest) string {
		var stream strings.Builder
		for number, data := range turnEvents(request.header.Get("Request-Id")) {
			if isTroubled && number > 0 {
				stream.WriteString(keepAliveComment)
			}
			_, _ = fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", number+1, data) // a strings.Builder returns no errors
		}
		return s.answerWith(request, 200, "text/event-stream", stream.String())
	})
	if err != nil {
		return nil, err
	}
	f.writeServer(ctx, engine.id, "engines", engine.address(), 12)
	if err := f.startAll(); err != nil {
		return nil, err
	}
	due := map[string]string{}
	for program := range programs {
		previous, history := "", ""
		for turn := range programTurns {
			id := fmt.Sprintf("%08x%08x", program+1, turn+1)
			input := fmt.Sprintf("[input %d]", turn+1)
			due[id] = history + input
			header := map[string]string{
				"Program-Id": fmt.Sprintf("p%d", program+1), "Session-Id": "s1", "Finish-Ms": "20000", "Token-Budget": "2304",
				"Token-Usage": "10,90", "Model": "m", "Deadline-Ms": "4000",
			}
			if previous != "" {
				header["Previous-Turn"] = previous
			}
			got := f.send(f.daemons[(program+turn)%len(f.daemons)], "POST", "/chat/4b", id, input, header)
			if got.status != 200 || got.err != nil {
				return nil, fmt.Errorf("turn %s was not answered whole: status %d, error %w", id, got.status, got.err)
			}
			history += input + strings.Join(turnEvents(id), "\n") + "\n"
			previous = id
			time.Sleep(100 * time.Millisecond)
		}
	}
	for _, request := range engine.ran() {
		id := request.header.Get("Request-Id")
		if string(request.body) != due[id] {
			breaches = append(breaches, fmt.Sprintf("UNASKED: the engine ran turn %s with the body %q, due was %q", id, request.body, due[id]))
		}
	}
	return breaches, nil
}
