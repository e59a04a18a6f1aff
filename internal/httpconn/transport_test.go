package httpconn_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/httpconn/answertest"
)

const maxBody = 1 << 10

func post(client *http.Client, address, body string) (string, error) {
	response, err := client.Post("http://"+address+"/x", "text/plain", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }() // it was read to its end, or reading failed
	answer, err := io.ReadAll(response.Body)
	return string(answer), err
}

func TestClientsGetNoBrokenAnswers(t *testing.T) {
	for name, client := range map[string]*http.Client{
		"whole":  httpconn.NewClient(maxBody, 10*time.Second),
		"stream": httpconn.NewStreamClient(),
	} {
		if body, err := post(client, answertest.Serve(t, answertest.Sound("ok")), "b"); err != nil || body != "ok" {
			t.Errorf("%s: got %q, %v", name, body, err)
		}
		for fault, answer := range answertest.Broken("ok") {
			if body, err := post(client, answertest.Serve(t, answer), "b"); err == nil {
				t.Errorf("%s, %s: got %q", name, fault, body)
			}
		}
	}
}

func TestBodiesOfClientsAreBounded(t *testing.T) {
	longest := strings.Repeat("x", maxBody)
	client := httpconn.NewClient(maxBody, 10*time.Second)
	if body, err := post(client, answertest.Serve(t, answertest.Sound(longest)), "b"); err != nil || body != longest {
		t.Errorf("the longest body: got %d bytes, %v", len(body), err)
	}
	for name, answer := range map[string]string{
		"with a length":    answertest.Sound(longest + "x"),
		"without a length": "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 8<<20),
	} {
		if _, err := post(client, answertest.Serve(t, answer), "b"); !errors.Is(err, httpconn.ErrBodyTooLong) {
			t.Errorf("%s: got %v, want ErrBodyTooLong", name, err)
		}
	}
}

func TestClientsTellWhetherARequestWasSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	client := httpconn.NewClient(maxBody, 10*time.Second)
	if _, err := post(client, listener.Addr().String(), "b"); !httpconn.IsNotSent(err) {
		t.Errorf("nothing listens: got %v, want ErrNotSent", err)
	}
	if _, err := client.Get("https://127.0.0.1/"); !errors.Is(err, httpconn.ErrScheme) {
		t.Errorf("https: got %v, want ErrScheme", err)
	}
	if _, err := post(client, answertest.Serve(t, ""), "b"); !errors.Is(err, httpconn.ErrBroken) || httpconn.IsNotSent(err) {
		t.Errorf("no answer: got %v, want ErrBroken", err)
	}
}

func TestClientsUseConnectionsAgain(t *testing.T) {
	var accepted atomic.Int64
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				accepted.Add(1)
			}
		},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	client := httpconn.NewClient(maxBody, 10*time.Second)
	for range 5 {
		if body, err := post(client, listener.Addr().String(), "b"); err != nil || body != "ok" {
			t.Errorf("got %q, %v", body, err)
		}
	}
	if got := accepted.Load(); got != 1 {
		t.Errorf("%d connections were opened, want one", got)
	}
}
