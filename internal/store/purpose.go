package store

import "context"

// Purpose is what a call to the store is made for: a label of figures and logs.
type Purpose string

// Purposes of calls; watchers name theirs after the space that they follow.
const (
	PurposeOther     Purpose = "other"
	PurposeDirectory Purpose = "directory"
	PurposeClaim     Purpose = "claim"
	PurposeShard     Purpose = "shard"
	PurposeHistories Purpose = "histories"
	PurposeReadAhead Purpose = "read_ahead"
	PurposeChanges   Purpose = "changes"
	PurposeTrim      Purpose = "trim"
)

// IsBulk tells whether calls bring many records, which take long by themselves.
func (p Purpose) IsBulk() bool {
	return p == PurposeShard || p == PurposeHistories || p == PurposeReadAhead
}

// purposeKey is the key of a context's purpose.
type purposeKey struct{}

// WithPurpose marks calls made under a context.
func WithPurpose(ctx context.Context, purpose Purpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, purpose)
}

// PurposeOf returns what calls under a context are made for.
func PurposeOf(ctx context.Context) Purpose {
	if purpose, marked := ctx.Value(purposeKey{}).(Purpose); marked {
		return purpose
	}
	return PurposeOther
}
