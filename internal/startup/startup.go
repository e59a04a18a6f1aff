// Package startup prepares a process before the Go runtime starts, by importing it for its effects:
// native threads get small stacks and share one allocation arena, and a SIGHUP that arrives before a
// handler is installed is ignored. It also ends a process that its resource limits leave too little
// memory, with a message that names the limit.
package startup

const (
	// ExitTooLittleMemory is the exit status of a process whose limit on data or address space is below
	// what the Go runtime needs to start.
	ExitTooLittleMemory = 4
	// LeastDataMegabytes and LeastAddressSpaceMegabytes are the least limits on data (RLIMIT_DATA) and
	// on address space (RLIMIT_AS) with which a process starts.
	LeastDataMegabytes         = 56
	LeastAddressSpaceMegabytes = 1400
)
