package proxy

import (
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// chunkBytes is the maximum size of one read.
	chunkBytes = 32 << 10
	// queuedChunks limits the chunks queued in one direction; beyond it the
	// sender blocks, as with a full TCP window.
	queuedChunks = 1024
	// pollInterval is how often a held direction checks whether it may
	// continue.
	pollInterval = 5 * time.Millisecond
)

// chunkKind is what a chunk forwards.
type chunkKind int

const (
	// chunkData: bytes.
	chunkData chunkKind = iota
	// chunkEnd: the sender has closed its sending direction.
	chunkEnd
	// chunkReset: the sender's connection is broken.
	chunkReset
)

// chunk is data or an end to forward at its due time.
type chunk struct {
	kind  chunkKind
	bytes []byte
	due   time.Time
}

// pipe is one direction of a connection.
type pipe struct {
	source, destination net.Conn
	// pending was read from the source before the pipe started.
	pending []byte
	// faults returns this direction's faults, opposite the other direction's.
	faults         func() DirectionFaults
	opposite       func() DirectionFaults
	randomDuration func(limit time.Duration) time.Duration
	queue          chan chunk
	closed         chan struct{}
	cut            func()
	once           sync.Once
}

// run forwards bytes until one side ends.
func (p *pipe) run() {
	go p.read()
	p.write()
}

// stop ends the pipe immediately.
func (p *pipe) stop() { p.once.Do(func() { close(p.closed) }) }

func (p *pipe) read() {
	defer close(p.queue)
	last := p.dueAfter(time.Time{})
	if len(p.pending) > 0 && !p.enqueue(chunk{kind: chunkData, bytes: p.pending, due: last}) {
		return
	}
	buffer := make([]byte, chunkBytes)
	for {
		count, err := p.source.Read(buffer)
		last = p.dueAfter(last)
		if count > 0 && !p.enqueue(chunk{kind: chunkData, bytes: slices.Clone(buffer[:count]), due: last}) {
			return
		}
		if err == io.EOF {
			p.enqueue(chunk{kind: chunkEnd, due: last})
			return
		}
		if err != nil {
			p.enqueue(chunk{kind: chunkReset, due: last})
			return
		}
	}
}

// dueAfter returns when bytes received now are due, not before the previous
// ones.
func (p *pipe) dueAfter(last time.Time) time.Time {
	faults := p.faults()
	due := time.Now().Add(time.Duration(faults.Delay) + p.randomDuration(time.Duration(faults.Jitter)))
	if due.Before(last) {
		return last
	}
	return due
}

func (p *pipe) enqueue(next chunk) bool {
	select {
	case p.queue <- next:
		return true
	case <-p.closed:
		return false
	}
}

func (p *pipe) write() {
	for next := range p.queue {
		if !sleepUntil(next.due, p.closed) || !p.waitWhileHeld(p.faults) {
			return
		}
		if p.faults().Drop {
			p.discardUntilLifted()
			return
		}
		if !p.forward(next) {
			return
		}
	}
}

// discardUntilLifted discards bytes until the fault is lifted and then resets
// the connection, which cannot continue without them.
func (p *pipe) discardUntilLifted() {
	go func() {
		for range p.queue {
			continue
		}
	}()
	for p.faults().Drop {
		if !sleepUntil(time.Now().Add(pollInterval), p.closed) {
			return
		}
	}
	p.cut()
}

// forward forwards one chunk; it returns false when the pipe has ended.
func (p *pipe) forward(next chunk) bool {
	switch next.kind {
	case chunkEnd:
		closeWrite(p.destination)
		return true
	case chunkReset:
		p.cut()
		return false
	}
	if rate := p.faults().BytesPerSecond; rate > 0 {
		pause := time.Duration(float64(len(next.bytes)) / float64(rate) * float64(time.Second))
		if !sleepUntil(time.Now().Add(pause), p.closed) {
			return false
		}
	}
	if _, err := p.destination.Write(next.bytes); err != nil {
		p.propagateReset()
		return false
	}
	return true
}

// propagateReset resets the source's side once the opposite direction is open.
func (p *pipe) propagateReset() {
	blocked := func() DirectionFaults {
		faults := p.opposite()
		faults.Hold = faults.Hold || faults.Drop
		return faults
	}
	if p.waitWhileHeld(blocked) {
		p.cut()
	}
}

// waitWhileHeld returns true once a direction is not held, and false if the
// connection ended before.
func (p *pipe) waitWhileHeld(faults func() DirectionFaults) bool {
	for faults().Hold {
		if !sleepUntil(time.Now().Add(pollInterval), p.closed) {
			return false
		}
	}
	return true
}

// sleepUntil returns true at a time, or false as soon as closed is closed.
func sleepUntil(due time.Time, closed <-chan struct{}) bool {
	timer := time.NewTimer(max(time.Until(due), 0))
	defer timer.Stop()
	select {
	case <-closed:
		return false
	case <-timer.C:
		return true
	}
}

func closeWrite(conn net.Conn) {
	if half, ok := conn.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
}
