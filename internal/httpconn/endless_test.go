package httpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"runtime"
	"strings"
	"testing"
	"time"
)

// maxEndlessGrowth is how many bytes one connection with an endless answer may make this process allocate.
const maxEndlessGrowth = 1 << 20

// endlessBytes is how many bytes an endless server sends at most, so that a client that reads them all
// does not take the whole memory.
const endlessBytes = 64 << 20

// endlessServer sends a text and then a pattern again and again until the peer closes the connection. It
// reports whether the peer did so before it had sent endlessBytes.
func endlessServer(t *testing.T, text, pattern string) (address string, closedEarly <-chan bool) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	done := make(chan bool, 1)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		block := []byte(strings.Repeat(pattern, 1+16<<10/len(pattern)))
		_, err = io.WriteString(connection, text)
		for sent := 0; err == nil && sent < endlessBytes; sent += len(block) {
			_, err = connection.Write(block)
		}
		done <- err != nil
	}()
	return listener.Addr().String(), done
}

func endlessRequest() *http.Request {
	return &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Host: "h", Header: http.Header{}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
}

func TestHeadsWithoutEndAreGivenUp(t *testing.T) {
	for name, test := range map[string]struct{ text, pattern string }{
		"no HTTP":                 {pattern: "x"},
		"lines that are no HTTP":  {pattern: "x\r\n"},
		"status line":             {text: "HTTP/1.1 200 ", pattern: "x"},
		"one header":              {text: "HTTP/1.1 200 OK\r\nA: ", pattern: "x"},
		"name of a header":        {text: "HTTP/1.1 200 OK\r\n", pattern: "x"},
		"many headers":            {text: "HTTP/1.1 200 OK\r\n", pattern: "a: b\r\n"},
		"continued header":        {text: "HTTP/1.1 200 OK\r\nA: b\r\n", pattern: " c\r\n"},
		"informational responses": {pattern: "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, closedEarly := endlessServer(t, test.text, test.pattern)
			pool := NewPool(time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := pool.Do(ctx, address, Bounds{}, endlessRequest())
			runtime.ReadMemStats(&after)
			if !errors.Is(err, ErrBroken) {
				t.Errorf("got %v, want ErrBroken", err)
			}
			if ctx.Err() != nil {
				t.Error("the answer was given up only at the deadline")
			}
			if grown := after.TotalAlloc - before.TotalAlloc; grown > maxEndlessGrowth {
				t.Errorf("%d bytes were allocated, want at most %d", grown, maxEndlessGrowth)
			}
			if !<-closedEarly {
				t.Errorf("the connection was open for %d bytes", endlessBytes)
			}
		})
	}
}

func TestBodiesWithoutEndTakeNoMemoryBeyondTheirReaders(t *testing.T) {
	for name, test := range map[string]struct{ text, pattern string }{
		"no length":       {text: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", pattern: "x"},
		"chunk length":    {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", pattern: "1"},
		"chunk extension": {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", pattern: "x"},
		"tiny chunks":     {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", pattern: "1;" + strings.Repeat("e", 99) + "\r\nx\r\n"},
		"one trailer":     {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", pattern: "x"},
		"many trailers":   {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", pattern: "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, closedEarly := endlessServer(t, test.text, test.pattern)
			pool := NewPool(time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			response, err := pool.Do(ctx, address, Bounds{}, endlessRequest())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 8<<20)) // the reader's bound
			_ = response.Body.Close()                                        // closes the connection
			runtime.ReadMemStats(&after)
			if grown := after.TotalAlloc - before.TotalAlloc; grown > maxEndlessGrowth {
				t.Errorf("%d bytes were allocated, want at most %d", grown, maxEndlessGrowth)
			}
			if !<-closedEarly {
				t.Errorf("the connection was open for %d bytes", endlessBytes)
			}
		})
	}
}

func TestHeadWithinTheBoundIsReadAlsoAfterOthers(t *testing.T) {
	header := "A: " + strings.Repeat("x", maxHeadBytes-200) + "\r\n"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("A", strings.TrimSpace(strings.TrimPrefix(header, "A: ")))
		_, _ = w.Write([]byte(strings.Repeat("y", 4*maxHeadBytes)))
	})}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	pool := NewPool(time.Second)
	for range 5 {
		response, err := pool.Do(t.Context(), listener.Addr().String(), Bounds{}, endlessRequest())
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || len(body) != 4*maxHeadBytes {
			t.Errorf("%d bytes of the body, %v", len(body), err)
		}
		_ = response.Body.Close() // it was read to its end
	}
	if dials := pool.Dials(); dials != 1 {
		t.Errorf("%d connections were opened, want one", dials)
	}
}
