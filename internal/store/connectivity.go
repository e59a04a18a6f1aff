package store

// Connectivity reports whether the store can be reached, and when a caller should retry.
// Implementations are safe for concurrent use.
type Connectivity interface {
	// Recovered returns a channel that is closed when the store answers again after an outage, or
	// when another daemon reports that it does.
	Recovered() <-chan struct{}
	// IsIsolated reports whether this daemon reaches neither the store nor another daemon that
	// could call it on its behalf. Other daemons should then take over its work.
	IsIsolated() bool
}

// UnknownConnectivity is a Connectivity that knows nothing about the store: it never signals a
// recovery and never reports isolation.
type UnknownConnectivity struct{}

// Recovered implements Connectivity.
func (UnknownConnectivity) Recovered() <-chan struct{} { return nil }

// IsIsolated implements Connectivity.
func (UnknownConnectivity) IsIsolated() bool { return false }
