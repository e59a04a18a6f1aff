package fanout_test

import (
	"context"

	"github.com/mintpulley/mintpulley/internal/store/memory"
)

// fleet is daemons over one busy store.
type fleet struct {
	store     *busyStore
	followers []*follower
}

func newFleet(daemons int) *fleet {
	f := &fleet{store: &busyStore{Store: memory.New(), bytesPerSecond: storeRate}}
	for range daemons {
		f.followers = append(f.followers, &follower{})
	}
	return f
}

func (f *fleet) run(ctx context.Context) {
	for _, follower := range f.followers {
		follower.follow(ctx, f.store, f.store)
	}
}
