package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/submit"
)

const leader structs.DaemonID = "127.0.0.1:1#1"

// fakeFleet is a node whose calls are answered by a test function.
type fakeFleet struct {
	*submit.Submitter
	// answer is called with each new call and a function that sends its answer.
	answer func(call structs.Call, send func(peer.Message))

	mutex    sync.Mutex
	detached []*dispatch.Detach
}

func newFakeFleet(answer func(structs.Call, func(peer.Message))) *fakeFleet {
	f := &fakeFleet{answer: answer}
	f.Submitter = submit.New(clock.System(), f, f, submit.DefaultSettings())
	return f
}

func (f *fakeFleet) Send(_ structs.DaemonID, message peer.Message) {
	switch m := message.(type) {
	case *dispatch.Submit:
		go f.answer(m.Call, func(answer peer.Message) { f.Receive(leader, withSubmission(answer, m.Submission)) })
	case *dispatch.Detach:
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.detached = append(f.detached, m)
	}
}

func withSubmission(message peer.Message, id dispatch.SubmissionID) peer.Message {
	switch m := message.(type) {
	case *dispatch.Answer:
		m.Submission = id
	case *dispatch.Settled:
		m.Submission = id
	case *dispatch.Accepted:
		m.Submission = id
	}
	return message
}

func (f *fakeFleet) detaches() []*dispatch.Detach {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.detached
}

func (f *fakeFleet) Shard(structs.ProgramKey) structs.ShardNumber { return 0 }
func (f *fakeFleet) Route(structs.ShardNumber) replication.Route {
	return replication.Route{Leader: leader, Epoch: 1}
}
func (f *fakeFleet) Learn(structs.ShardNumber, replication.Route) {}
func (f *fakeFleet) Alive(structs.DaemonID) bool                  { return true }

func (f *fakeFleet) Current() *structs.Configuration { return keyConfiguration }

var keyConfiguration = &structs.Configuration{Tenants: map[structs.TenantName]structs.Tenant{
	"village": {KeyHashes: []string{KeyHash("key")}},
	"city":    {KeyHashes: []string{KeyHash("city")}},
}}

// answerAll answers each call with the same text.
func answerAll(_ structs.Call, send func(peer.Message)) {
	send(&dispatch.Settled{Outcome: structs.Outcome{Status: structs.OutcomeCompleted, Answer: structs.Message{Content: "yes"}, FinishReason: "stop"}})
}

func serve(t *testing.T, fleet *fakeFleet, change func(*Limits)) *httptest.Server {
	t.Helper()
	limits := DefaultLimits()
	change(&limits)
	server := httptest.NewServer(New(Options{Node: fleet, Configurations: fleet, Limits: limits}))
	t.Cleanup(server.Close)
	return server
}

const plainBody = `{"model":"m","messages":[{"role":"user","content":"x"}]}`

// dial opens a connection and sends the beginning of a request.
func dial(t *testing.T, server *httptest.Server, sent string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, sent); err != nil {
		t.Fatal(err)
	}
	return conn
}

func requestHead(length int, extra string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n%s\r\n", length, extra)
}

func post(t *testing.T, server *httptest.Server, key, body string) (int, http.Header) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode, response.Header
}

func TestOversizedBodyIsRefused(t *testing.T) {
	server := serve(t, newFakeFleet(answerAll), func(limits *Limits) { limits.MaxBodyBytes = 1000 })
	if status, _ := post(t, server, "key", plainBody+strings.Repeat(" ", 2000)); status != http.StatusRequestEntityTooLarge {
		t.Errorf("announced length: status %d", status)
	}
	chunked := dial(t, server, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n"+strings.Repeat(" ", 2000)+"\r\n")
	response, err := http.ReadResponse(bufio.NewReader(chunked), nil)
	if err != nil || response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("no length: %v, %v", response, err)
	}
	if status, _ := post(t, server, "key", plainBody); status != http.StatusOK {
		t.Errorf("another caller: status %d", status)
	}
}

func TestIncompleteRequestsAreShedAndDoNotDelayOthers(t *testing.T) {
	fleet := newFakeFleet(answerAll)
	server := serve(t, fleet, func(limits *Limits) { limits.BodyTimeout = 200 * time.Millisecond })
	var halves []net.Conn
	for range 50 {
		halves = append(halves, dial(t, server, requestHead(len(plainBody), "")+plainBody[:10]))
	}
	for range 20 {
		if status, _ := post(t, server, "key", plainBody); status != http.StatusOK {
			t.Fatalf("another caller: status %d", status)
		}
	}
	for _, half := range halves {
		response, err := http.ReadResponse(bufio.NewReader(half), nil)
		if err != nil {
			t.Fatal(err)
		}
		if response.StatusCode != http.StatusRequestTimeout || !response.Close {
			t.Errorf("status %d, close %t", response.StatusCode, response.Close)
		}
	}
	if fleet.Pending() != 0 {
		t.Errorf("%d calls were submitted from incomplete requests", fleet.Pending())
	}
}

func TestDaemonAtItsLimitRefusesRequests(t *testing.T) {
	hold := make(chan struct{})
	fleet := newFakeFleet(func(call structs.Call, send func(peer.Message)) {
		send(&dispatch.Accepted{})
		<-hold
		answerAll(call, send)
	})
	server := serve(t, fleet, func(limits *Limits) { limits.MaxRequests, limits.MaxRequestsPerTenant = 3, 2 })
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() { post(t, server, "key", plainBody) })
	}
	waitFor(t, "two calls", func() bool { return fleet.Pending() == 2 })
	if status, header := post(t, server, "key", plainBody); status != http.StatusTooManyRequests || header.Get("Retry-After") == "" {
		t.Errorf("the tenant's third: status %d, %v", status, header)
	}
	group.Go(func() { post(t, server, "city", plainBody) })
	waitFor(t, "another tenant's call", func() bool { return fleet.Pending() == 3 })
	if status, header := post(t, server, "city", plainBody); status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("the fourth: status %d, %v", status, header)
	}
	close(hold)
	group.Wait()
	if status, _ := post(t, server, "key", plainBody); status != http.StatusOK {
		t.Errorf("after the others ended: status %d", status)
	}
}

func TestBodyMemoryIsBounded(t *testing.T) {
	server := serve(t, newFakeFleet(answerAll), func(limits *Limits) {
		limits.MaxTotalBodyBytes, limits.BodyTimeout = 2000, 5*time.Second
	})
	half := dial(t, server, requestHead(1900, "")+"{")
	bodies := &server.Config.Handler.(*Gateway).bodies
	waitFor(t, "the memory reserved for the incomplete body", func() bool { return bodies.Load() == 1900 })
	if status, _ := post(t, server, "city", plainBody+strings.Repeat(" ", 200)); status != http.StatusServiceUnavailable {
		t.Errorf("beyond MaxTotalBodyBytes: status %d", status)
	}
	_ = half.Close()
	waitFor(t, "memory for another body", func() bool {
		status, _ := post(t, server, "city", plainBody+strings.Repeat(" ", 200))
		return status == http.StatusOK
	})
}

// TestStalledReaderIsDetached guards against a caller that reads nothing holding a
// stream open: the answer exceeds the socket buffers.
func TestStalledReaderIsDetached(t *testing.T) {
	text := strings.Repeat("~", 64<<10)
	fleet := newFakeFleet(func(_ structs.Call, send func(peer.Message)) {
		for i := range 400 {
			send(&dispatch.Answer{Chunks: []structs.Chunk{{Offset: int64(i * len(text)), Text: text}}})
		}
	})
	server := serve(t, fleet, func(limits *Limits) { limits.WriteTimeout = 200 * time.Millisecond })
	const body = `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`
	dial(t, server, requestHead(len(body), HeaderProgram+": p\r\n"+HeaderRequestID+": r\r\n")+body)
	waitFor(t, "the Detach message", func() bool { return len(fleet.detaches()) == 1 })
	if detach := fleet.detaches()[0]; detach.Cancel || detach.RequestID != "r" {
		t.Errorf("a call with a request identifier was cancelled: %+v", detach)
	}
	if fleet.Pending() != 0 {
		t.Errorf("%d submissions left", fleet.Pending())
	}
}

// TestStalledReadersDoNotDelayOthers guards against callers that read nothing of long
// answers blocking other requests at the same gateway.
func TestStalledReadersDoNotDelayOthers(t *testing.T) {
	text := strings.Repeat("~", 64<<10)
	const stuck = 4
	var sent sync.WaitGroup
	sent.Add(stuck)
	fleet := newFakeFleet(func(call structs.Call, send func(peer.Message)) {
		if call.Key.Program != "stuck" {
			answerAll(call, send)
			return
		}
		defer sent.Done()
		for i := range 400 {
			send(&dispatch.Answer{Chunks: []structs.Chunk{{Offset: int64(i * len(text)), Text: text}}})
		}
	})
	// One write exceeds the socket buffers and blocks for the whole test.
	server := serve(t, fleet, func(limits *Limits) {
		limits.WriteTimeout, limits.MaxPendingBytes = time.Minute, 24<<20
	})
	const body = `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`
	for i := range stuck {
		dial(t, server, requestHead(len(body), HeaderProgram+": stuck\r\n"+HeaderRequestID+": r"+strconv.Itoa(i)+"\r\n")+body)
	}
	sent.Wait()
	for range 20 {
		if status, _ := post(t, server, "key", plainBody); status != http.StatusOK {
			t.Fatalf("another caller: status %d", status)
		}
	}
	if got := fleet.Pending(); got != stuck {
		t.Errorf("%d of %d stalled streams remain: they ended before the others were served", got, stuck)
	}
	server.CloseClientConnections()
}

// TestSlowReaderIsToldWhereToResume overflows the buffer of a caller that reads
// nothing for a while. The stream must end with the byte at which to resume.
func TestSlowReaderIsToldWhereToResume(t *testing.T) {
	const pieces = 400
	text := strings.Repeat("~", 64<<10)
	sent := make(chan struct{})
	fleet := newFakeFleet(func(_ structs.Call, send func(peer.Message)) {
		for i := range pieces {
			send(&dispatch.Answer{Chunks: []structs.Chunk{{Offset: int64(i * len(text)), Text: text}}})
		}
		close(sent)
	})
	server := serve(t, fleet, func(limits *Limits) { limits.WriteTimeout = 10 * time.Second })
	const body = `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`
	conn := dial(t, server, requestHead(len(body), HeaderProgram+": p\r\n"+HeaderRequestID+": r\r\n")+body)
	<-sent
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	all, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	received := strings.Count(string(all), "~")
	if received >= pieces*len(text) {
		t.Fatal("nothing was dropped")
	}
	if want := fmt.Sprintf(`"resume_at":%d}`, received); !strings.Contains(string(all[len(all)-400:]), want) {
		t.Errorf("received %d bytes of text; the stream ends with %s", received, all[len(all)-400:])
	}
}

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestResumptionInsideCharacterIsRefused(t *testing.T) {
	const answer = "žemľa"
	fleet := newFakeFleet(func(call structs.Call, send func(peer.Message)) {
		send(&dispatch.Answer{Chunks: []structs.Chunk{{Offset: call.ResumeAt, Text: answer[call.ResumeAt:]}}})
		send(&dispatch.Settled{Outcome: structs.Outcome{Status: structs.OutcomeCompleted, Answer: structs.Message{Content: answer}}})
	})
	server := serve(t, fleet, func(*Limits) {})
	const body = `{"model":"m","stream":true,"metadata":{"program":"p","request_id":"r","resume_at":"%d"},"messages":[{"role":"user","content":"x"}]}`
	for offset, want := range map[int]int{0: http.StatusOK, 1: http.StatusBadRequest, 2: http.StatusOK, len(answer): http.StatusOK} {
		if status, _ := post(t, server, "key", fmt.Sprintf(body, offset)); status != want {
			t.Errorf("resumed at byte %d: status %d, want %d", offset, status, want)
		}
	}
}
