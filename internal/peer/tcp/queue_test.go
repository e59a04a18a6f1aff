package tcp

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"runtime"
	"strconv"
	"testing"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// allocatedBytes returns the number of bytes that a function allocates.
func allocatedBytes(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// TestLinkTakesLittleMemory checks that links to 2,000 daemons take a few megabytes: a small machine
// has some hundred, and may have to answer every daemon of a large fleet.
func TestLinkTakesLittleMemory(t *testing.T) {
	const links, most = 2000, 4 << 10
	unreachable := func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }
	transport := serve(&blockedListener{closed: make(chan struct{})}, unreachable, structs.NewDaemonID("10.0.0.1:1", 1), &countingHandler{}, nil, zerolog.Nop())
	defer transport.Close()
	took := allocatedBytes(func() {
		for i := range links {
			transport.link(fmt.Sprintf("10.0.%d.%d:1", 1+i/250, i%250))
		}
	})
	if each := took / links; each > most {
		t.Errorf("a link allocates %d bytes, want at most %d", each, most)
	}
}

func TestQueueKeepsOrderAndBound(t *testing.T) {
	queue := newMessageQueue()
	next := 0
	pushed := 0
	for round := range 40 { // grows, shrinks and wraps
		for range 30 + round%7 {
			if !queue.push(bytes.NewBufferString(strconv.Itoa(pushed))) {
				t.Fatalf("message %d refused", pushed)
			}
			pushed++
		}
		for range 25 + round%11 {
			line, found := queue.pop()
			if !found {
				break
			}
			if want := strconv.Itoa(next); line.String() != want {
				t.Fatalf("got message %s, want %s", line, want)
			}
			next++
		}
	}
	for waiting := pushed - next; waiting < queueLength; waiting++ {
		if !queue.push(&bytes.Buffer{}) {
			t.Fatalf("refused with %d messages", waiting)
		}
	}
	if queue.push(&bytes.Buffer{}) {
		t.Errorf("took more than %d messages", queueLength)
	}
	queue.discard()
	if !queue.isEmpty() || queue.lines != nil {
		t.Errorf("an empty queue keeps %d places", cap(queue.lines))
	}
}
