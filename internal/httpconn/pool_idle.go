package httpconn

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	a := p.addresses[name]
	if a == nil {
		return
	}
	for _, c := range a.idle {
		_ = c.Close() // nothing waits to be sent
		p.countClosed(a)
	}
	a.idle = nil
	if a.open == 0 {
		delete(p.addresses, name)
	}
}

// takeIdle returns an open idle connection to an address that the bounds do not exclude, nil if there is
// none.
func (p *Pool) takeIdle(name string, bounds Bounds) *conn {
	for {
		c := p.removeIdle(name, bounds)
		if c == nil || time.Now().Before(c.expires) && isReusable(c.Conn) {
			return c
		}
		p.drop(name, c)
	}
}

// removeIdle removes the latest idle connection that the bounds do not exclude from those of an address,
// and returns it; nil if there is none.
func (p *Pool) removeIdle(name string, bounds Bounds) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	a := p.addresses[name]
	if a == nil {
		return nil
	}
	for i, c := range slices.Backward(a.idle) {
		if !bounds.exclude(c) {
			a.idle = slices.Delete(a.idle, i, i+1)
			return c
		}
	}
	return nil
}

// closeExcluded makes room for another connection to an address: it closes the longest idle one of those
// that the bounds exclude, and reports whether there was one that has been idle for minIdleReplaced.
func (p *Pool) closeExcluded(name string, bounds Bounds) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	a := p.addresses[name]
	if a == nil {
		return false
	}
	now := time.Now()
	i := slices.IndexFunc(a.idle, func(c *conn) bool { return bounds.exclude(c) && now.Sub(c.idleSince) >= minIdleReplaced })
	if i < 0 {
		return false
	}
	_ = a.idle[i].Close() // nothing waits to be sent
	a.idle = slices.Delete(a.idle, i, i+1)
	p.countClosed(a)
	p.counts.replaced++
	return true
}

func (p *Pool) putIdle(name string, c *conn, idle time.Duration) {
	c.idleSince = time.Now()
	c.expires = c.idleSince.Add(idle)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	a := p.addresses[name]
	if a == nil {
		_ = c.Close() // nothing waits to be sent
		return
	}
	a.idle = append(a.idle, c)
}

// idleTime returns how long a connection may stay idle after a response; 0 means that it must be
// closed.
func idleTime(response *http.Response) time.Duration {
	if response.Close {
		return 0
	}
	for part := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err == nil && seconds > 0 {
			return time.Duration(float64(seconds) * idleShare * float64(time.Second))
		}
	}
	return defaultIdleTime
}
