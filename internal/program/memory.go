package program

import (
	"sync/atomic"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// MemoryLimits bound what the programs of one daemon take, in bytes.
type MemoryLimits struct {
	// NewPrograms is the size from which no new program is taken on.
	NewPrograms int64
	// Calls is the size from which no call is taken on, not of programs under
	// way either. It is not below NewPrograms.
	Calls int64
	// Unpacked bounds the unpacked copies of packed histories, beside the
	// sizes above.
	Unpacked int64
	// WarmTime is how long a history stays unpacked after its last reading.
	WarmTime time.Duration
}

// DefaultMemoryLimits returns limits for the sizes of docs/CAPACITY.md.
func DefaultMemoryLimits() MemoryLimits {
	return MemoryLimits{
		NewPrograms: 512 << 20,
		Calls:       640 << 20,
		Unpacked:    64 << 20,
		WarmTime:    time.Minute,
	}
}

// Memory counts what the programs of one daemon take, those it leads and those
// it follows. It is shared by the daemon's shards and safe for several
// goroutines.
type Memory struct {
	limits MemoryLimits
	// kept is the size of all programs, unpacked that of the unpacked copies.
	programBytes  atomic.Int64
	unpackedBytes atomic.Int64
}

// NewMemory returns an empty account.
func NewMemory(limits MemoryLimits) *Memory { return &Memory{limits: limits} }

// Limits returns the limits.
func (m *Memory) Limits() MemoryLimits { return m.limits }

// Kept returns the size of all programs in bytes, without unpacked copies.
func (m *Memory) ProgramBytes() int64 { return m.programBytes.Load() }

// Unpacked returns the size of unpacked copies in bytes.
func (m *Memory) UnpackedBytes() int64 { return m.unpackedBytes.Load() }

const (
	// programOverhead is the measured size of a program without calls, in bytes.
	programOverhead = 1200
	// settledOverhead is the measured size of a settled call, in bytes.
	settledOverhead = 400
	// openOverhead is the size of an open call without its content, in bytes.
	openOverhead = 800
)

// footprint returns what a program takes in memory, in bytes. The template's
// system prompt is shared and not in it.
func (p *Program) footprint() int64 {
	size := int64(programOverhead) + p.History.Bytes()
	for _, open := range p.Open {
		size += openOverhead + callBytes(&open.Call)
	}
	for request, settled := range p.Settled {
		size += settledOverhead + int64(len(request)+len(settled.Outcome.Body)+len(settled.Outcome.Message))
	}
	return size
}

func callBytes(call *structs.Call) int64 {
	size := int64(len(call.Parameters) + len(call.Body))
	for _, message := range call.Messages {
		size += messageBytes(message)
	}
	return size
}

// account brings the daemon's count up to date with one program.
func (s *Shard) updateFootprint(key structs.ProgramKey) {
	former, now := s.footprints[key], int64(0)
	if program := s.programs[key]; program != nil {
		now = program.footprint()
		s.footprints[key] = now
	} else {
		delete(s.footprints, key)
	}
	s.memory.programBytes.Add(now - former)
}

// Discard takes the shard out of the daemon's count; it is not used any more.
func (s *Shard) Discard() {
	for _, size := range s.footprints {
		s.memory.programBytes.Add(-size)
	}
	clear(s.footprints)
	s.cache.evictAll()
}
