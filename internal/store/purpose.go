package store

import "context"

// Purpose is why a call to the store is made, as a label of metrics and logs.
type Purpose string

// Purposes of calls. Those of watchers are named after the space they follow.
const (
	PurposeOther     Purpose = "other"
	PurposeDirectory Purpose = "directory"
	PurposeClaim     Purpose = "claim"
	PurposeShard     Purpose = "shard"
	PurposeHistories Purpose = "histories"
	PurposeReadAhead Purpose = "read_ahead"
	PurposeChanges   Purpose = "changes"
	PurposeTrim      Purpose = "trim"
	PurposeRegistry  Purpose = "registry"
)

// IsBulk reports whether calls of this purpose read many records, and are therefore slow even on a
// healthy store.
func (p Purpose) IsBulk() bool {
	return p == PurposeShard || p == PurposeHistories || p == PurposeReadAhead
}

// purposeKey is the context key of a Purpose.
type purposeKey struct{}

// WithPurpose sets the purpose of the calls made with the returned context.
func WithPurpose(ctx context.Context, purpose Purpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, purpose)
}

// PurposeOf returns the purpose of calls made with ctx.
func PurposeOf(ctx context.Context) Purpose {
	if purpose, marked := ctx.Value(purposeKey{}).(Purpose); marked {
		return purpose
	}
	return PurposeOther
}
