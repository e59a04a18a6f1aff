package store

import (
	"context"
	"sync/atomic"
	"time"
)

// Progress reports to the caller of a read how much of the store's answer has arrived. It is safe
// for concurrent use.
type Progress struct {
	bytes atomic.Int64
	// asOf is the time as of which the answer is current; nil if that follows from when the call
	// was made.
	asOf atomic.Pointer[time.Time]
	// pause is the time to wait before the next read; nil for the caller's own.
	pause atomic.Pointer[time.Duration]
}

// progressKey is the context key of a Progress.
type progressKey struct{}

// WithProgress returns a context in which the store's driver reports the progress of a call.
func WithProgress(ctx context.Context) (context.Context, *Progress) {
	progress := &Progress{}
	return context.WithValue(ctx, progressKey{}, progress), progress
}

// TrackProgress returns the Progress of ctx, and adds one if there is none.
func TrackProgress(ctx context.Context) (context.Context, *Progress) {
	if progress, watched := ctx.Value(progressKey{}).(*Progress); watched {
		return ctx, progress
	}
	return WithProgress(ctx)
}

// ProgressOf returns the Progress of ctx. It is never nil.
func ProgressOf(ctx context.Context) *Progress {
	if progress, watched := ctx.Value(progressKey{}).(*Progress); watched {
		return progress
	}
	return &Progress{}
}

// AddBytes adds to the number of bytes received; a response header counts as one byte.
func (p *Progress) AddBytes(bytes int) { p.bytes.Add(int64(bytes)) }

// Bytes returns the number of bytes received so far.
func (p *Progress) Bytes() int64 { return p.bytes.Load() }

// SetAsOf sets the time as of which the answer is current. It is set for an answer that another
// daemon read, possibly before the call was made.
func (p *Progress) SetAsOf(asOf time.Time) { p.asOf.Store(&asOf) }

// AsOf returns the time that SetAsOf set last, or false if it was never called.
func (p *Progress) AsOf() (asOf time.Time, told bool) {
	if noted := p.asOf.Load(); noted != nil {
		return *noted, true
	}
	return time.Time{}, false
}

// SetPause sets the time to wait before the next read, in place of the caller's own.
func (p *Progress) SetPause(pause time.Duration) { p.pause.Store(&pause) }

// Pause returns the time that SetPause set last, or otherwise if it was never called.
func (p *Progress) Pause(otherwise time.Duration) time.Duration {
	if set := p.pause.Load(); set != nil {
		return *set
	}
	return otherwise
}

// freshConnectionKey is the context key that marks calls which need a new connection.
type freshConnectionKey struct{}

// WithFreshConnection marks calls that must open a new connection, because an earlier call hangs
// and other connections of that time may be dead, too.
func WithFreshConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, freshConnectionKey{}, true)
}

// WantsFreshConnection reports whether WithFreshConnection marked ctx.
func WantsFreshConnection(ctx context.Context) bool {
	fresh, _ := ctx.Value(freshConnectionKey{}).(bool)
	return fresh
}

// patientKey is the context key that marks calls which nobody waits for.
type patientKey struct{}

// WithPatience marks calls that nobody waits for: they are repeated by way of another daemon only
// once they have failed and the store answers nothing else, so that a busy store gets each once.
func WithPatience(ctx context.Context) context.Context {
	return context.WithValue(ctx, patientKey{}, true)
}

// IsPatient reports whether WithPatience marked ctx.
func IsPatient(ctx context.Context) bool {
	patient, _ := ctx.Value(patientKey{}).(bool)
	return patient
}

// readLimitKey is the context key of the limit of a read.
type readLimitKey struct{}

// WithReadLimit limits the answers to reads to about the given number of bytes; the next read
// returns what follows. A record that is larger is returned all the same.
func WithReadLimit(ctx context.Context, bytes int) context.Context {
	return context.WithValue(ctx, readLimitKey{}, bytes)
}

// ReadLimit returns the limit that WithReadLimit set, 0 for none.
func ReadLimit(ctx context.Context) int {
	limit, _ := ctx.Value(readLimitKey{}).(int)
	return limit
}
