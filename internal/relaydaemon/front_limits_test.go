package relaydaemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/route"
)

const (
	testHeadTime = 3 * time.Second
	testIdleTime = 8 * time.Second
)

func limitsTest(t *testing.T, body func(t *testing.T, d *drainTest)) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrainTest(t)
		d.server.setLimits(route.Limits{HeaderTimeout: testHeadTime, IdleTimeout: testIdleTime})
		body(t, d)
	})
}

func TestIdleConnectionIsClosedAtTheOperatorsLimit(t *testing.T) {
	limitsTest(t, func(t *testing.T, d *drainTest) {
		c := d.dial(t)
		for range 3 { // four fifths of the limit are allowed
			time.Sleep(testIdleTime * 4 / 5)
			c.send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
			c.expectAnswer("/x ")
		}
		rested := time.Now()
		c.expectClosed()
		if took := time.Since(rested); took != testIdleTime {
			t.Errorf("closed after %s, want %s", took, testIdleTime)
		}
	})
}

func TestSlowHeaderIsClosedAtTheOperatorsLimit(t *testing.T) {
	limitsTest(t, func(t *testing.T, d *drainTest) {
		c := d.dial(t)
		time.Sleep(testIdleTime / 2)
		c.send("GET /x HT")
		begun := time.Now()
		time.Sleep(testHeadTime / 2)
		c.send("TP/1.1\r\n")
		c.expectClosed()
		if took := time.Since(begun); took != testHeadTime {
			t.Errorf("closed after %s, want %s", took, testHeadTime)
		}
	})
}

func TestBodyAndAnswerAreNotBoundByTheseLimits(t *testing.T) {
	limitsTest(t, func(t *testing.T, d *drainTest) {
		c := d.dial(t)
		c.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n")
		time.Sleep(2 * testIdleTime)
		c.send("ab")
		c.expectAnswer("/x ab")
		c.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		time.Sleep(2 * testIdleTime)
		close(d.release)
		c.expectAnswer("/slow ")
	})
}

// TestNewLimitHoldsForOpenConnections checks that an idle connection is closed once it has been
// idle for as long as a newer limit allows.
func TestNewLimitHoldsForOpenConnections(t *testing.T) {
	limitsTest(t, func(t *testing.T, d *drainTest) {
		c := d.dial(t)
		begun := time.Now()
		time.Sleep(time.Second)
		d.server.setLimits(route.Limits{HeaderTimeout: testHeadTime, IdleTimeout: 2 * time.Second})
		c.expectClosed()
		if took := time.Since(begun); took != 2*time.Second {
			t.Errorf("closed after %s, want 2s", took)
		}
	})
}
