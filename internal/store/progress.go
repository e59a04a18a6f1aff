package store

import (
	"context"
	"sync/atomic"
	"time"
)

// Progress tells the caller of a reading how much of the store's answer has arrived. It
// is safe for concurrent use.
type Progress struct {
	bytes atomic.Int64
	// asOf is when the answer was the newest, nil if that follows from when it was asked for.
	asOf atomic.Pointer[time.Time]
}

// progressKey is the key of a context's Progress.
type progressKey struct{}

// WithProgress returns a context under which the store's driver tells the progress of a
// call.
func WithProgress(ctx context.Context) (context.Context, *Progress) {
	progress := &Progress{}
	return context.WithValue(ctx, progressKey{}, progress), progress
}

// TrackProgress returns the progress of the calls under a context, and a context under which it
// is told if that was not asked for before.
func TrackProgress(ctx context.Context) (context.Context, *Progress) {
	if progress, watched := ctx.Value(progressKey{}).(*Progress); watched {
		return ctx, progress
	}
	return WithProgress(ctx)
}

// ProgressOf returns the progress of the call that is made under a context. It is never
// nil.
func ProgressOf(ctx context.Context) *Progress {
	if progress, watched := ctx.Value(progressKey{}).(*Progress); watched {
		return progress
	}
	return &Progress{}
}

// Note takes note of bytes that arrived; the head of an answer counts as one.
func (p *Progress) Note(bytes int) { p.bytes.Add(int64(bytes)) }

// Bytes returns how many bytes arrived so far.
func (p *Progress) Bytes() int64 { return p.bytes.Load() }

// NoteAsOf takes note of the time as of which the answer is the newest: it rests on another
// daemon's reading, which may be older than the call.
func (p *Progress) NoteAsOf(asOf time.Time) { p.asOf.Store(&asOf) }

// AsOf returns what NoteAsOf was told last; false if it was told nothing.
func (p *Progress) AsOf() (asOf time.Time, told bool) {
	if noted := p.asOf.Load(); noted != nil {
		return *noted, true
	}
	return time.Time{}, false
}

// freshKey is the key of a context whose calls want a fresh connection.
type freshKey struct{}

// WithFreshConnection marks calls that must not share the connection of an earlier one: it
// hangs, and others that were opened before may be as silent.
func WithFreshConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, freshKey{}, true)
}

// WantsFreshConnection tells whether calls under a context were marked so.
func WantsFreshConnection(ctx context.Context) bool {
	fresh, _ := ctx.Value(freshKey{}).(bool)
	return fresh
}
