package poison

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/store"
)

// ErrUnknownContent: no back end ended under a content with the digest, or that was too long ago.
var ErrUnknownContent = eris.New("poison: no back end ended under this content")

// SuspectedContent is a content under which back ends ended, as operators see it.
type SuspectedContent struct {
	Digest Digest `json:"digest"`
	// Ends is how many back ends ended under it, and IsRefused whether it is not sent any more.
	Ends      int  `json:"ends"`
	IsRefused bool `json:"refused"`
	// WasAnsweredBefore: it had been answered before the ends, so those that came at once count as one.
	WasAnsweredBefore bool `json:"answered_before,omitempty"`
	// Sends are its sends that count, the earliest first.
	Sends []Send `json:"sends"`
}

// List reads the contents under which back ends ended from the store, those with the most ends first.
func List(ctx context.Context, s store.Store, now time.Time) ([]SuspectedContent, error) {
	known, err := readTable(ctx, s, now)
	if err != nil {
		return nil, err
	}
	contents := []SuspectedContent{}
	for digest, suspect := range known.suspects {
		listed := SuspectedContent{Digest: digest, Ends: suspect.ends(now)}
		if listed.Ends == 0 {
			continue
		}
		listed.IsRefused = listed.Ends >= Limit
		listed.WasAnsweredBefore = suspect.wasAnsweredBefore()
		listed.Sends = suspect.countedSends()
		contents = append(contents, listed)
	}
	slices.SortFunc(contents, func(a, b SuspectedContent) int {
		if a.Ends != b.Ends {
			return b.Ends - a.Ends
		}
		return strings.Compare(string(a.Digest), string(b.Digest))
	})
	return contents, nil
}

// countedSends returns the sends that count, the earliest first.
func (s *suspect) countedSends() []Send {
	var sends []Send
	for _, send := range s.sends {
		if s.counts(send) && (send.State == StateReserved || send.State == StateEnded) {
			sends = append(sends, send.Send)
		}
	}
	slices.SortFunc(sends, func(a, b Send) int { return int(a.AtMS - b.AtMS) })
	return sends
}

// Allow lets a content through again, as if a back end had answered it: what ended under it before does
// not count any more.
func Allow(ctx context.Context, s store.Store, digest Digest, now time.Time) error {
	known, err := readTable(ctx, s, now)
	if err != nil {
		return err
	}
	suspect := known.suspects[digest]
	if suspect == nil || suspect.ends(now) == 0 {
		return ErrUnknownContent
	}
	generation := suspect.generation + 1
	answer := Send{State: StateAnswered, Daemon: operator, AtMS: now.UnixMilli(), Generation: generation}
	record, err := answer.record(answeredKey(digest, generation))
	if err != nil {
		return err
	}
	return s.Append(ctx, Partition(), store.Writer{}, append([]store.Record{record}, deletions(suspect.keys())...))
}

// operator stands in place of a daemon in what an operator stores.
const operator = "operator"

// readTable reads all sends from the store.
func readTable(ctx context.Context, s store.Store, now time.Time) (*table, error) {
	records, _, err := store.Newest(ctx, s, Partition())
	if err != nil {
		return nil, eris.Wrap(err, "poison: read the contents under which back ends ended")
	}
	known := newTable(knownRuns{})
	known.apply(store.Update{Records: records, Complete: true}, now)
	return &known, nil
}
