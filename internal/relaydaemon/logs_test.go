package relaydaemon

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// TestLastLineIsWritten checks that the last line before Close, which reports a planned shutdown,
// is not lost.
func TestLastLineIsWritten(t *testing.T) {
	const processes = 5000
	var lost DroppedLines
	missing := 0
	for range processes {
		output := &bytes.Buffer{}
		logger, closer := NewLogger(output, zerolog.InfoLevel, lost.Add)
		logger.Info().Msg("Daemon stopped.")
		if err := closer.Close(); err != nil {
			t.Fatal(err)
		}
		if !bytes.Contains(output.Bytes(), []byte("Daemon stopped.")) {
			missing++
		}
	}
	if missing > 0 || lost.Count() > 0 {
		t.Errorf("%d of %d last lines are missing, %d counted as lost", missing, processes, lost.Count())
	}
}

// TestPanicInHandlerIsLogged checks that a panic in a handler is logged, since the caller gets no
// answer.
func TestPanicInHandlerIsLogged(t *testing.T) {
	output := &bytes.Buffer{}
	server := newServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		panic("fault at " + r.URL.Path)
	}), zerolog.New(output))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	front := newFrontServer(server, listener, neverRedirects)
	if _, err := http.Get("http://" + listener.Addr().String() + "/a"); err == nil {
		t.Error("a request that panicked was answered")
	}
	if err := front.drain(t.Context()); err != nil {
		t.Error(err)
	}
	if !strings.Contains(output.String(), "fault at /a") {
		t.Errorf("the panic is not logged in %q", output)
	}
}
