package ledger

import (
	"context"
	"strconv"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// recoveryView is a daemon's view, which receives nothing from the other side of the cut.
type recoveryView struct {
	*recoveryFleet
	self structs.DaemonID
}

// State implements membership.View.
func (v *recoveryView) State(id structs.DaemonID) membership.State {
	if v.incarnationAt(id.Address()) != id {
		return membership.StateDead
	}
	cut := v.isCutOff(id) != v.isCutOff(v.self) && v.isDuringCut(spreadOf("view", v.self, id, viewBack))
	if cut || v.isKilled(id.Address()) && id.Incarnation() == 1 {
		silent := v.now() - recoveryCutAt - spreadOf("dead", v.self, id, suspectAfter/2)
		switch {
		case silent >= deadAfter:
			return membership.StateDead
		case silent >= suspectAfter:
			return membership.StateSuspect
		}
	}
	return membership.StateAlive
}

// incarnationAt returns the latest incarnation at an address that this daemon has
// discovered.
func (v *recoveryView) incarnationAt(address string) structs.DaemonID {
	heard := recoveryCutAt + restartAfter + spreadOf("run", v.self, structs.DaemonID(address), restartSeenWithin)
	if v.isKilled(address) && (v.now() >= heard || v.self.Address() == address && v.self.Incarnation() == 2) {
		return structs.NewDaemonID(address, 2)
	}
	return structs.NewDaemonID(address, 1)
}

// Members implements membership.View.
func (v *recoveryView) Members() []membership.Member {
	var members []membership.Member
	for address := range zoneOfDaemon {
		if member, _ := v.Lookup(address); member.State != membership.StateDead {
			members = append(members, member)
		}
	}
	return members
}

// Lookup implements View.
func (v *recoveryView) Lookup(address string) (membership.Member, bool) {
	id := v.incarnationAt(address)
	zone := structs.ZoneName("zone-" + strconv.Itoa(zoneOfDaemon[address]))
	return membership.Member{Daemon: structs.Daemon{ID: id, Zone: zone}, State: v.State(id)}, true
}

// recoveryStore is a daemon's access to the store, whose read capacity all share.
type recoveryStore struct {
	store.Store
	fleet *recoveryFleet
	self  structs.DaemonID
}

// reach waits until a call reaches the store; an error means that it does not.
func (s *recoveryStore) reach(ctx context.Context) error {
	if (s.fleet.outage || s.fleet.isCutOff(s.self)) && s.fleet.isDuringCut(spreadOf("store", s.self, "", storeBack)) {
		<-ctx.Done()
		return store.ErrOutcomeUnknown
	}
	clock.Sleep(ctx, 2*recoveryOneWayDelay)
	return nil
}

// Append implements store.Store.
func (s *recoveryStore) Append(ctx context.Context, partition store.Partition, by store.Writer, records []store.Record) error {
	if err := s.reach(ctx); err != nil {
		return err
	}
	err := s.Store.Append(ctx, partition, by, records)
	if err == nil && partition.Space == "ledger" && by.Sequence == 1 && by.Name == writerName {
		s.fleet.noteClaim(partition.Number, s.self)
	}
	return err
}

// NewestPage implements store.Store.
func (s *recoveryStore) NewestPage(ctx context.Context, partition store.Partition, after string) (store.Page, error) {
	if err := s.reach(ctx); err != nil {
		return store.Page{}, err
	}
	page, err := s.Store.NewestPage(ctx, partition, after)
	if err != nil {
		return page, err
	}
	size := 0
	for i, record := range page.Records {
		if size += len(record.Key) + len(record.Value); size > recoveryPageBytes {
			page.Records, page.More = page.Records[:i+1], i+1 < len(page.Records) || page.More
			break
		}
	}
	return page, s.fleet.transfer(ctx, s.self, 4*store.SizeOf(page.Records)/3)
}

// Read implements store.Store.
func (s *recoveryStore) Read(ctx context.Context, partition store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	if err := s.reach(ctx); err != nil {
		return nil, from, err
	}
	records, next, err := s.Store.Read(ctx, partition, from, wait)
	if err != nil {
		return records, next, err
	}
	for i, size := 0, 0; i < len(records); i++ {
		if size += len(records[i].Key) + len(records[i].Value); size > recoveryPageBytes {
			records, next = records[:i+1], from+int64(i+1)
		}
	}
	return records, next, s.fleet.transfer(ctx, s.self, store.SizeOf(records))
}

// transfer waits while the store serves all earlier reads and this one, and the daemon's
// link carries the result. A read that was canceled still takes its time.
func (f *recoveryFleet) transfer(ctx context.Context, to structs.DaemonID, size int) error {
	f.mutex.Lock()
	f.bytes[f.second()] += size
	now := time.Now()
	f.readBusyUntil = later(f.readBusyUntil, now).Add(time.Duration(size) * time.Second / recoveryReadRate)
	f.linkBusyUntil[to] = later(f.linkBusyUntil[to], now).Add(time.Duration(size) * time.Second / recoveryLinkRate)
	until := later(f.readBusyUntil, f.linkBusyUntil[to])
	f.mutex.Unlock()
	clock.Sleep(ctx, time.Until(until))
	if ctx.Err() != nil {
		return store.ErrOutcomeUnknown
	}
	return nil
}
