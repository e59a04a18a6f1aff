package store

// Contact tells a store's users when it is worth trying again. It is safe for
// concurrent use.
type Contact interface {
	// Returned returns a channel that is closed when the store answers again
	// after it did not, or is said to.
	Returned() <-chan struct{}
	// IsIsolated tells whether this daemon reaches neither the store nor another
	// daemon that could make its calls: then others had better do its work.
	IsIsolated() bool
}

// NoContact is the Contact of a store of which nothing is known.
type NoContact struct{}

// Returned implements Contact.
func (NoContact) Returned() <-chan struct{} { return nil }

// IsIsolated implements Contact.
func (NoContact) IsIsolated() bool { return false }
