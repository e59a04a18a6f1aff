package tcp

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// blockedListener accepts nothing until it is closed.
type blockedListener struct{ closed chan struct{} }

func (l *blockedListener) Accept() (net.Conn, error) { <-l.closed; return nil, net.ErrClosed }
func (l *blockedListener) Close() error              { close(l.closed); return nil }
func (l *blockedListener) Addr() net.Addr            { return &net.TCPAddr{} }

// cutNetwork drops the SYN packets of connections while it is cut; the kernel retransmits them
// after a second.
type cutNetwork struct {
	cut     atomic.Bool
	arrived chan struct{}
}

const resendAfter = time.Second

func (n *cutNetwork) dial(ctx context.Context, _ string) (net.Conn, error) {
	for n.cut.Load() {
		select {
		case <-time.After(resendAfter):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	near, far := net.Pipe()
	go func() {
		scanner := bufio.NewScanner(far)
		for scanner.Scan() {
			select {
			case n.arrived <- struct{}{}:
			default:
			}
		}
	}()
	return near, nil
}

// TestLinkIsBackSoonAfterACut checks that a message sent after the end of a network failure arrives
// within 0.35 s, whenever the failure ends. Daemons must hear of each other before they act on
// outdated membership.
func TestLinkIsBackSoonAfterACut(t *testing.T) {
	const send, bound = 10 * time.Millisecond, 350 * time.Millisecond
	for _, length := range []time.Duration{1010 * time.Millisecond, 2350 * time.Millisecond, 5470 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			network := &cutNetwork{arrived: make(chan struct{}, 1)}
			network.cut.Store(true)
			transport := serve(&blockedListener{closed: make(chan struct{})}, network.dial, structs.NewDaemonID("10.0.0.1:1", 1), &countingHandler{}, nil, zerolog.Nop())
			defer transport.Close()
			time.AfterFunc(length, func() { network.cut.Store(false) })
			started := time.Now()
			for {
				transport.Send(structs.NewDaemonID("10.0.0.2:1", 1), &membership.UpdatePush{})
				synctest.Wait()
				select {
				case <-network.arrived:
					if after := time.Since(started) - length; after > bound {
						t.Errorf("a cut of %s: the first message arrived %s after its end", length, after)
					}
					return
				case <-time.After(send):
				}
			}
		})
	}
}

// linkCount returns the number of links of a transport.
func linkCount(t *Transport) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.links)
}

// TestLinkToADaemonThatIsGoneEnds checks that an unused link to a daemon which is gone costs
// neither a goroutine nor connection attempts.
func TestLinkToADaemonThatIsGoneEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int64
		gone := func(context.Context, string) (net.Conn, error) { dials.Add(1); return nil, net.ErrClosed }
		transport := serve(&blockedListener{closed: make(chan struct{})}, gone, structs.NewDaemonID("10.0.0.1:1", 1), &countingHandler{}, nil, zerolog.Nop())
		defer transport.Close()
		for number := range 50 {
			transport.Send(structs.NewDaemonID(fmt.Sprintf("10.0.1.%d:1", number), 1), &membership.UpdatePush{})
		}
		time.Sleep(linkIdleTimeout + time.Second)
		if left := linkCount(transport); left != 0 {
			t.Errorf("%d links are left", left)
		}
		before := dials.Load()
		time.Sleep(10 * time.Second)
		if more := dials.Load() - before; more != 0 {
			t.Errorf("%d connection attempts in ten seconds", more)
		}
		transport.Send(structs.NewDaemonID("10.0.1.1:1", 1), &membership.UpdatePush{})
		synctest.Wait()
		if dials.Load() == before {
			t.Error("a link that ended is not created again")
		}
	})
}

// TestConnectionThatIsNotUsedEnds checks that an unused connection is closed although its daemon is
// silent and does not close it.
func TestConnectionThatIsNotUsedEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &cutNetwork{arrived: make(chan struct{}, 1)}
		transport := serve(&blockedListener{closed: make(chan struct{})}, network.dial, structs.NewDaemonID("10.0.0.1:1", 1), &countingHandler{}, nil, zerolog.Nop())
		defer transport.Close()
		for range 3 {
			transport.Send(structs.NewDaemonID("10.0.0.2:1", 1), &membership.UpdatePush{})
			<-network.arrived
			time.Sleep(linkIdleTimeout / 2)
			if left := linkCount(transport); left != 1 {
				t.Fatalf("%d links while one is used", left)
			}
		}
		time.Sleep(linkIdleTimeout + idleCheckInterval)
		if left := linkCount(transport); left != 0 {
			t.Errorf("%d links are left", left)
		}
	})
}
