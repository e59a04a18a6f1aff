package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/platform/standin"
)

const (
	heartbeat      = 1200 * time.Millisecond
	eventPause     = 10 * time.Millisecond
	tokensPerEvent = 9
	stateReady     = "ready"
)

// A body that begins with deadlyBody ends an engine that can be ended, deadlyAfter it began to run.
const (
	deadlyBody  = "deadly "
	deadlyAfter = 40 * time.Millisecond
)

var errEnded = errors.New("the engine has ended")

// engineKind is how the engines of a service work.
type engineKind struct {
	service string
	slots   int
	// queue is how many requests wait for a slot.
	queue int
	// work returns how long a plain request takes.
	work func() time.Duration
}

// garbling is the disruption "engines hand out wrong bytes", variant "extra late": a share of the
// answers is sent once more, some time after the first.
type garbling struct {
	share   float64
	minLate time.Duration
	maxLate time.Duration
}

// engine is a stand-in for an engine.
type engine struct {
	engineKind
	id, zone, address string
	listener          net.Listener
	journal           *runJournal
	places            chan struct{}
	working           chan struct{}
	stop              chan struct{}

	mutex    sync.Mutex
	garbling garbling
	// open are the open connections. onDeadly, if set, is called when a body ends the engine.
	open     map[net.Conn]struct{}
	onDeadly func(request string)
}

// run is one run of a request at an engine.
type run struct {
	request, engine, kind string
	at                    time.Time
}

// runJournal holds what engines ran.
type runJournal struct {
	recorder *recorder
	mutex    sync.Mutex
	byID     map[string][]run
	all      []run
	busiest  float64
	running  int
	slots    int
}

func newRunJournal(r *recorder) *runJournal {
	return &runJournal{recorder: r, byID: map[string][]run{}}
}

func (j *runJournal) begin(e *engine, request, path string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	made := run{request: request, engine: e.id, kind: path, at: time.Now()}
	j.byID[request] = append(j.byID[request], made)
	j.all = append(j.all, made)
	j.running++
	j.busiest = max(j.busiest, float64(j.running)/float64(max(j.slots, 1)))
	if count := len(j.byID[request]); count > 1 {
		j.recorder.note("engine %s: runs request %s, run %d", e.id, request, count)
	}
}

func (j *runJournal) end() {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.running--
}

// runsOf returns the runs of a request.
func (j *runJournal) runsOf(request string) []run {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return append([]run(nil), j.byID[request]...)
}

// resetBusiest starts to measure the largest share of slots in use anew.
func (j *runJournal) resetBusiest() {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.busiest = 0
}

func startEngine(kind engineKind, id, zone string, journal *runJournal, log *standin.Log) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		engineKind: kind, id: id, zone: zone, address: listener.Addr().String(), listener: listener, journal: journal,
		places: make(chan struct{}, kind.slots+kind.queue), working: make(chan struct{}, kind.slots), stop: make(chan struct{}),
		open: map[net.Conn]struct{}{},
	}
	journal.slots += kind.slots
	go e.accept()
	go e.beat(log)
	return e, nil
}

func (e *engine) accept() {
	for {
		connection, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mutex.Lock()
		e.open[connection] = struct{}{}
		e.mutex.Unlock()
		go e.serve(connection)
	}
}

func (e *engine) beat(log *standin.Log) {
	for sequence := 1; ; sequence++ {
		log.Put("keyed.servers", e.id, fmt.Sprintf(
			`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"coldRemainingMs":0,"callSeq":%d}`,
			e.service, e.address, e.zone, e.slots, stateReady, sequence))
		select {
		case <-e.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (e *engine) close() {
	close(e.stop)
	_ = e.listener.Close()
}

// crash ends the engine as a process ends: its listener and connections close, and its entry stays.
func (e *engine) crash() {
	e.close()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for connection := range e.open {
		_ = connection.Close()
	}
}

func (e *engine) setGarbling(g garbling) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.garbling = g
}

// lateness draws whether an answer is sent a second time, and how much later.
func (e *engine) lateness() (late time.Duration, drawn bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.garbling.share == 0 || rand.Float64() >= e.garbling.share {
		return 0, false
	}
	return e.garbling.minLate + rand.N(e.garbling.maxLate-e.garbling.minLate), true
}

// lockedConn lets whole answers be written one after the other.
type lockedConn struct {
	net.Conn
	mutex sync.Mutex
}

func (c *lockedConn) send(data []byte) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, err := c.Write(data)
	return err
}

func (e *engine) serve(raw net.Conn) {
	connection := &lockedConn{Conn: raw}
	defer func() {
		_ = raw.Close()
		e.mutex.Lock()
		defer e.mutex.Unlock()
		delete(e.open, raw)
	}()
	reader := bufio.NewReader(raw)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if e.answer(connection, request, body) != nil {
			return
		}
	}
}

// answer answers one request. An error ends the connection.
func (e *engine) answer(c *lockedConn, request *http.Request, body []byte) error {
	id := request.Header.Get("Request-Id")
	expected := request.Header.Get("Expect-Instance")
	switch {
	case request.URL.Path == "/health":
		return c.send(message(200, "Instance-Id: "+e.id, ""))
	case request.URL.Path == "/api/report":
		return c.send(message(200, "Content-Type: application/json", `{"stage":"both","waiting":0,"running":0}`))
	case id == "":
		return c.send(message(400, "Not-Executed: 1", ""))
	case expected != "" && expected != e.id:
		return c.send(message(421, "Instance-Id: "+e.id+"\r\nNot-Executed: 1\r\nRequest-Id: "+id, ""))
	}
	select {
	case e.places <- struct{}{}:
	default:
		return e.sendAnswer(c, id, message(503, "Not-Executed: 1\r\nRequest-Id: "+id, "full"), "503 Not-Executed")
	}
	defer func() { <-e.places }()
	e.working <- struct{}{}
	defer func() { <-e.working }()
	e.journal.begin(e, id, request.URL.Path)
	defer e.journal.end()
	if bytes.HasPrefix(body, []byte(deadlyBody)) && e.onDeadly != nil {
		time.Sleep(deadlyAfter)
		e.onDeadly(id)
		return errEnded
	}
	if usage := request.Header.Get("Token-Usage"); usage != "" {
		return e.stream(c, id, usage, len(body))
	}
	time.Sleep(e.work())
	return e.sendAnswer(c, id, message(200, "Request-Id: "+id+"\r\nServer-Seal: "+seal(e.id, id), strings.Repeat("x", 800)), "200")
}

// sendAnswer sends an answer, and a second time later if it is garbled.
func (e *engine) sendAnswer(c *lockedConn, id string, answer []byte, what string) error {
	late, drawn := e.lateness()
	if drawn {
		time.AfterFunc(late, func() {
			if c.send(answer) == nil {
				e.journal.recorder.note("engine %s: the answer %s to %s is sent a second time, %s later", e.id, what, id, late.Round(time.Millisecond))
			}
		})
	}
	return c.send(answer)
}

// stream generates as many tokens as the request allows.
func (e *engine) stream(c *lockedConn, id, usage string, promptBytes int) error {
	_, most, _ := strings.Cut(usage, ",")
	tokens, _ := strconv.Atoi(most)
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\nRequest-Id: " + id +
		"\r\nServer-Seal: " + seal(e.id, id) + "\r\n\r\n"
	if err := c.send([]byte(head)); err != nil {
		return err
	}
	for event := 1; event <= tokens/tokensPerEvent; event++ {
		time.Sleep(eventPause)
		text := fmt.Sprintf("id: %d\ndata: %s of %s after %d bytes\n\n", event, strconv.Itoa(event), id, promptBytes)
		if err := c.send([]byte(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))); err != nil {
			return err
		}
	}
	return c.send([]byte("0\r\n\r\n"))
}

func seal(engine, request string) string { return engine + "." + request }

// message returns a whole HTTP message with a status, further header lines and a body.
func message(status int, lines, body string) []byte {
	return []byte(fmt.Sprintf("HTTP/1.1 %d %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), lines, len(body), body))
}
