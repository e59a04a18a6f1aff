package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	budgetConfiguration = `{"version":1,"routes":[
 {"name":"chat","host":"fleet.example","pathPrefix":"/chat/","kind":"stream","timeoutMs":4000,"targetLatencyMs":200,"priority":1,"service":"engines","maxAttempts":1,"retainContext":false,"retentionS":60,"sticky":true,"resumable":false,"gapAimMs":200}],
 "services":[{"name":"engines","healthCheck":"/health","maxConnections":160,"protocol":"h1","tls":false,"engine":{"slots":12,"kvCapacity":127559,"tokensPerEvent":9,"models":[{"name":"m"}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
	tokensPerEvent = 9
	// budgetTokens is the program's budget; its turns generate up to longTurn, middleTurn and longTurn.
	budgetTokens = 100 * tokensPerEvent
	longTurn     = 66 * tokensPerEvent
	middleTurn   = 37 * tokensPerEvent
	// endPause is the time from the last event of a stream to its end.
	endPause = 400 * time.Millisecond
	// otherPrograms take a turn each, so that every shard is in use; flushTime is longer than it takes
	// until their ends are stored.
	otherPrograms = 96
	flushTime     = 600 * time.Millisecond
	// restartPause is the delay until a process that was killed is started again.
	restartPause = 200 * time.Millisecond
)

// generate answers a turn with as many events as its Token-Usage allows.
func generate(id string) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		header := w.Header()
		header.Set("Request-Id", request.Header.Get("Request-Id"))
		if request.Header.Get("Expect-Instance") != id {
			header.Set("Instance-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // the input has no effect
		header.Set("Server-Seal", id+"."+request.Header.Get("Request-Id"))
		header.Set("Content-Type", "text/event-stream")
		_, most, _ := strings.Cut(request.Header.Get("Token-Usage"), ",")
		tokens, _ := strconv.Atoi(most) // 0 without a number
		for number := range tokens / tokensPerEvent {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: word\n\n", number+1) // the request's context tells that the caller left
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(endPause):
		case <-request.Context().Done():
		}
	}
}

// turn sends a turn, calls onAll once as many events have come as it may have, and returns the status
// and the tokens that came.
func (f *fleet) turn(d *daemon, program, id string, budget, most int, onAll func()) (status, tokens int) {
	conn, err := net.DialTimeout("tcp", d.front, time.Second)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = conn.Close() }() // the answer was read
	_ = conn.SetDeadline(time.Now().Add(answerTime))
	text := fmt.Sprintf("POST /chat/4b HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nProgram-Id: %s\r\nSession-Id: s1\r\nFinish-Ms: 20000\r\nToken-Budget: %d\r\nToken-Usage: 10,%d\r\nModel: m\r\nDeadline-Ms: 4000\r\nContent-Length: 2\r\n\r\nhi",
		routeHost, id, program, budget, most)
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = response.Body.Close() }() // it was read
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "data: ") {
			continue
		}
		if tokens += tokensPerEvent; tokens == most && onAll != nil {
			onAll()
		}
	}
	return response.StatusCode, tokens
}

// useAllShards lets many programs take a short turn each, and waits until these are stored.
func (f *fleet) useAllShards(round int) {
	var turns sync.WaitGroup
	for number := range otherPrograms {
		turns.Go(func() {
			d := f.daemons[number%len(f.daemons)]
			f.turn(d, fmt.Sprintf("other-%d-%d", round, number), fmt.Sprintf("%08x%08x", 16+round, number), budgetTokens, tokensPerEvent, nil)
		})
	}
	turns.Wait()
	time.Sleep(flushTime)
}

// killAll kills all daemons at once, and starts them again.
func (f *fleet) killAll() error {
	f.record.write("all processes are killed")
	for _, d := range f.daemons {
		_ = d.command.Process.Kill() // fails if it has ended
	}
	for _, d := range f.daemons {
		<-d.ended
	}
	time.Sleep(restartPause)
	return f.startAll()
}

// playBudget plays a program of three turns. With the disruption, all daemons are killed right after the
// last event of the first turn, and of the second one.
func playBudget(ctx context.Context, r *record, isTroubled bool) (breaches []string, err error) {
	f, err := newFleet(r, 2, budgetConfiguration)
	if err != nil {
		return nil, err
	}
	defer f.close()
	const engine = "i-1"
	address, err := f.serve(generate(engine))
	if err != nil {
		return nil, err
	}
	f.writeServer(ctx, engine, "engines", address, 12*otherPrograms)
	if err := f.startAll(); err != nil {
		return nil, err
	}
	given := 0
	for number, most := range []int{longTurn, middleTurn, longTurn} {
		isKilled := isTroubled && number < 2
		if number == 0 || isTroubled {
			f.useAllShards(number)
		}
		allCame := make(chan struct{})
		var turning sync.WaitGroup
		turning.Go(func() {
			id := fmt.Sprintf("%016x", number+1)
			f.record.write("client sends turn %s of up to %d tokens; the budget is %d", id, most, budgetTokens)
			status, tokens := f.turn(f.daemons[0], "program", id, budgetTokens, most, func() { close(allCame) })
			f.record.write("turn %s: status %d, %d tokens came", id, status, tokens)
			given += tokens
		})
		if isKilled {
			select {
			case <-allCame:
			case <-time.After(answerTime):
			}
			if err := f.killAll(); err != nil {
				return nil, err
			}
		}
		turning.Wait()
	}
	f.record.write("%d tokens were given, %d may be", given, budgetTokens+longTurn)
	if given > budgetTokens+longTurn {
		breaches = append(breaches, fmt.Sprintf("BUDGET: the program got %d tokens of a budget of %d and a longest turn of %d", given, budgetTokens, longTurn))
	}
	return breaches, nil
}
