package relaydaemon

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

func TestListIsCurrentOnlyByAReadThatBeganLater(t *testing.T) {
	for name, test := range map[string]struct {
		// confirm is called once a read was asked for.
		confirm   func(c *confirmation, asked time.Time)
		isCurrent bool
		waits     time.Duration
	}{
		"read after the call":       {func(c *confirmation, asked time.Time) { c.confirm(asked) }, true, 10 * time.Millisecond},
		"read that had begun":       {func(c *confirmation, asked time.Time) { c.confirm(asked.Add(-time.Millisecond)) }, false, time.Second},
		"no read, as if cut off":    {func(*confirmation, time.Time) {}, false, time.Second},
		"the store does not answer": {nil, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newListConfirmation()
				c.confirm(time.Now())
				time.Sleep(time.Minute) // stands still
				began := time.Now()
				if test.confirm == nil {
					c.recordConnectivity(errors.New("silence"))
					time.Sleep(time.Millisecond)
					began = time.Now()
				} else {
					go func() {
						<-c.refresh.C()
						time.Sleep(10 * time.Millisecond)
						test.confirm(c, began)
					}()
				}
				isCurrent := c.AwaitCurrent(t.Context(), began, began.Add(time.Second))
				if waited := time.Since(began); isCurrent != test.isCurrent || waited != test.waits {
					t.Errorf("current: %v after %v, want %v after %v", isCurrent, waited, test.isCurrent, test.waits)
				}
			})
		})
	}
}
