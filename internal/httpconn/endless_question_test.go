package httpconn

import (
	"errors"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// TestAnswersWithoutEndToQuestionsAreGivenUp asks a process who it is before a request is sent to it.
func TestAnswersWithoutEndToQuestionsAreGivenUp(t *testing.T) {
	for name, test := range map[string]struct{ text, pattern string }{
		"head":   {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"body":   {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, closedEarly := endlessServer(t, test.text, test.pattern)
			peer := &Peer{Identity: "me", Question: endlessRequest(), Read: func(*http.Response) string { return "me" }}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := NewPool(100*time.Millisecond).Do(t.Context(), address, Bounds{Peer: peer}, endlessRequest())
			runtime.ReadMemStats(&after)
			if !errors.Is(err, ErrResetUnused) {
				t.Errorf("got %v, want ErrResetUnused", err)
			}
			if grown := after.TotalAlloc - before.TotalAlloc; grown > maxEndlessGrowth {
				t.Errorf("%d bytes were allocated, want at most %d", grown, maxEndlessGrowth)
			}
			<-closedEarly
		})
	}
}
