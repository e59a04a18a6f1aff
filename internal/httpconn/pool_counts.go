package httpconn

import "errors"

// counts are numbers since the pool was created. The pool's mutex guards them.
type counts struct {
	dials, replaced, duplicates, overlong, malformed uint64
}

// Dials returns the number of connection attempts so far.
func (p *Pool) Dials() uint64 { return p.currentCounts().dials }

// Replaced returns the number of idle connections that were closed so far because a request that had
// been sent on all connections to an address, at its limit of connections, needed another one.
func (p *Pool) Replaced() uint64 { return p.currentCounts().replaced }

// Duplicates returns the number of duplicate answers that were skipped so far.
func (p *Pool) Duplicates() uint64 { return p.currentCounts().duplicates }

// Overlong returns the number of responses so far whose head was too long.
func (p *Pool) Overlong() uint64 { return p.currentCounts().overlong }

// Malformed returns the number of responses so far whose head was malformed.
func (p *Pool) Malformed() uint64 { return p.currentCounts().malformed }

func (p *Pool) currentCounts() counts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.counts
}

// countBadHead counts a response that was not read because of its head; err is the error of reading it.
func (p *Pool) countBadHead(err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case errors.Is(err, ErrHeadTooLong):
		p.counts.overlong++
	case errors.Is(err, ErrMalformedHead):
		p.counts.malformed++
	}
}

func (p *Pool) countDuplicate() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.counts.duplicates++
}
