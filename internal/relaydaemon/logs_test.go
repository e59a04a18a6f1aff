package relaydaemon

import (
	"bytes"
	"io"
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
	front := newFrontServer(server, newFrontListener(listener, 0, nil), neverRedirects)
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

// stuckOutput takes nothing until it is released.
type stuckOutput struct {
	release chan struct{}
	bytes.Buffer
}

func (o *stuckOutput) Write(line []byte) (int, error) {
	<-o.release
	return o.Buffer.Write(line)
}

func TestLinesForAStuckOutputAreBoundedInBytes(t *testing.T) {
	var lost DroppedLines
	output := &stuckOutput{release: make(chan struct{})}
	logger, closer := NewLogger(output, zerolog.InfoLevel, lost.Add)
	const lines = 3000
	text := strings.Repeat("x", 10<<10)
	for range lines {
		logger.Info().Msg(text)
	}
	if err := closer.Close(); err != nil {
		t.Error(err)
	}
	if kept := (lines - lost.Count()) * int64(len(text)); kept > logQueueBytes {
		t.Errorf("%d bytes of lines wait, want at most %d", kept, logQueueBytes)
	}
	close(output.release)
}

// failingOutput takes half of each line while it fails.
type failingOutput struct {
	fails bool
	bytes.Buffer
}

func (o *failingOutput) Write(line []byte) (int, error) {
	if !o.fails {
		return o.Buffer.Write(line)
	}
	written, _ := o.Buffer.Write(line[:len(line)/2]) // it never fails
	return written, io.ErrShortWrite
}

func TestLineThatTheOutputDoesNotTakeIsCounted(t *testing.T) {
	var lost DroppedLines
	output := &failingOutput{fails: true}
	queue := &lineQueue{dropped: lost.Add}
	writer := &lineOutput{Writer: output, queue: queue}
	if _, err := writer.Write([]byte("one\n")); err == nil {
		t.Error("the error of the output is not returned")
	}
	output.fails = false
	if _, err := writer.Write([]byte("two\n")); err != nil {
		t.Error(err)
	}
	if got := output.String(); got != "on\ntwo\n" || lost.Count() != 1 {
		t.Errorf("got %q and %d lost lines, want one lost line and the second line by itself", got, lost.Count())
	}
}
