package program

import (
	"sync/atomic"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// MemoryLimits bounds the memory that the programs of one daemon take, in bytes.
type MemoryLimits struct {
	// NewPrograms is the total size from which new programs are refused.
	NewPrograms int64
	// Calls is the total size from which all calls are refused, those of running
	// programs included. It is not below NewPrograms.
	Calls int64
	// Unpacked bounds the unpacked copies of packed histories, which the sizes above
	// do not include.
	Unpacked int64
	// WarmTime is how long a history stays unpacked after it was last read.
	WarmTime time.Duration
}

// DefaultMemoryLimits returns the limits for the fleet sizes of docs/CAPACITY.md.
func DefaultMemoryLimits() MemoryLimits {
	return MemoryLimits{
		NewPrograms: 512 << 20,
		Calls:       640 << 20,
		Unpacked:    64 << 20,
		WarmTime:    time.Minute,
	}
}

// Memory counts the memory of the programs of one daemon, whether it leads or follows
// their shards. The daemon's shards share it; it is safe for concurrent use.
type Memory struct {
	limits MemoryLimits
	// programBytes is the size of all programs, unpackedBytes that of the unpacked
	// copies.
	programBytes  atomic.Int64
	unpackedBytes atomic.Int64
}

// NewMemory returns a Memory that counts nothing yet.
func NewMemory(limits MemoryLimits) *Memory { return &Memory{limits: limits} }

// Limits returns the limits.
func (m *Memory) Limits() MemoryLimits { return m.limits }

// ProgramBytes returns the size of all programs in bytes, without unpacked copies.
func (m *Memory) ProgramBytes() int64 { return m.programBytes.Load() }

// UnpackedBytes returns the size of the unpacked copies in bytes.
func (m *Memory) UnpackedBytes() int64 { return m.unpackedBytes.Load() }

const (
	// programOverhead is the size of a program without calls, in bytes.
	programOverhead = 1200
	// settledOverhead is the size of a settled call without its outcome's texts, in
	// bytes.
	settledOverhead = 400
	// openOverhead is the size of an open call without its content, in bytes.
	openOverhead = 800
)

// footprint returns the memory that a program takes, in bytes, without the template's
// system prompt, which programs share.
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

// updateFootprint updates the daemon's count after a change to one program.
func (s *Shard) updateFootprint(key structs.ProgramKey) {
	before, now := s.footprints[key], int64(0)
	if program := s.programs[key]; program != nil {
		now = program.footprint()
		s.footprints[key] = now
	} else {
		delete(s.footprints, key)
	}
	s.memory.programBytes.Add(now - before)
}

// Discard removes the shard from the daemon's count. The shard must not be used
// afterwards.
func (s *Shard) Discard() {
	for _, size := range s.footprints {
		s.memory.programBytes.Add(-size)
	}
	clear(s.footprints)
	s.cache.evictAll()
}
