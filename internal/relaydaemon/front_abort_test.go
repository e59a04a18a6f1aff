package relaydaemon

import (
	"errors"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/route"
)

// net/http ends a pending read by a deadline in the past before it closes the connection of an aborted
// answer. New limits must not take that back.
func TestNewLimitsDoNotHoldUpTheCloseOfAnAbortedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		c := &frontConnection{Conn: near}
		c.enter(phaseServing, time.Now())
		if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
			t.Fatal(err)
		}
		c.setLimits(route.Limits{HeaderTimeout: testHeadTime, IdleTimeout: testIdleTime})
		ended := make(chan error, 1)
		go func() {
			_, err := c.Read(make([]byte, 1))
			ended <- err
		}()
		select {
		case err := <-ended:
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("the read ended with %v", err)
			}
		case <-time.After(time.Minute):
			t.Error("the read goes on")
			_ = near.Close()
		}
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			t.Fatal(err)
		}
	})
}
