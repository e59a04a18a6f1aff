package node

import (
	"github.com/mintpulley/mintpulley/internal/backends"
	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/placement"
	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/structs"
)

func (n *Node) newMembership() *membership.Membership {
	return membership.New(membership.Options{
		Self:      n.Self,
		Clock:     n.Clock,
		Random:    n.random(),
		Transport: n.Transport,
		Settings:  n.Settings.Membership,
		Logger:    n.Logger.With().Str("part", "membership").Logger(),
	})
}

func (n *Node) newConfigurations() *configuration.Store {
	return configuration.NewStore(configuration.Options{
		Self:      n.Self.ID,
		Clock:     n.Clock,
		Log:       n.Drivers.Log,
		Transport: n.Transport,
		Peers:     n.peers,
		Settings:  n.Settings.Configuration,
		Guards:    n.Guards.Configuration,
		Logger:    n.Logger.With().Str("part", "configuration").Logger(),
	})
}

func (n *Node) newScheduler() *schedule.Scheduler {
	return schedule.NewWithOptions(schedule.Options{
		Clock:          n.Clock,
		QueueLimit:     n.Settings.QueueLimit,
		Zone:           n.Self.Zone,
		Profile:        schedule.DefaultProfile(),
		Configurations: n.Configurations,
	})
}

func (n *Node) newDirectory() *backends.Directory {
	return backends.New(backends.Options{
		Self:            n.Self,
		Clock:           n.Clock,
		Drivers:         n.Drivers,
		Transport:       n.Transport,
		Scheduler:       n.Scheduler,
		Members:         n.Membership,
		Router:          n,
		Settings:        n.Settings.Backends,
		Guards:          n.Guards.Backends,
		Logger:          n.Logger.With().Str("part", "backends").Logger(),
		OnList:          n.machinesListed,
		OnListUnchanged: n.machinesUnchanged,
	})
}

func (n *Node) newCoordinator() *dispatch.Coordinator {
	return dispatch.New(dispatch.Options{
		Self:           n.Self.ID,
		Clock:          n.Clock,
		Transport:      n.Transport,
		Drivers:        n.Drivers,
		Scheduler:      n.Scheduler,
		Configurations: n.Configurations,
		Directory:      n.Directory,
		Router:         n,
		Settings:       n.Settings.Dispatch,
		Memory:         program.NewMemory(n.Settings.Memory),
		Guards:         n.Guards.Dispatch,
		Logger:         n.Logger.With().Str("part", "dispatch").Logger(),
	})
}

func (n *Node) newPlacement() *placement.Manager {
	settings := n.Settings.Placement
	settings.FirstShard = structs.ShardNumber(n.Settings.Shards)
	return placement.New(placement.Options{
		Self:           n.Self.ID,
		Clock:          n.Clock,
		Transport:      n.Transport,
		Engines:        n.Drivers.Engines,
		Configurations: n.Configurations,
		Router:         n,
		Queues:         schedulerQueues{n.Scheduler},
		Settings:       settings,
		Guards:         n.Guards.Placement,
		Logger:         n.Logger.With().Str("part", "placement").Logger(),
	})
}

func (n *Node) newReplication() *replication.Manager {
	settings := n.Settings.Replication
	settings.Shards = n.Settings.Shards + n.Settings.Placement.Shards
	settings.ArchivedShards = n.Settings.Shards
	return replication.New(replication.Options{
		Self:        n.Self,
		Clock:       n.Clock,
		Random:      n.random(),
		Transport:   n.Transport,
		Log:         n.Drivers.Log,
		Members:     n.Membership,
		Application: applications{programs: n.Coordinator, control: n.Placement},
		Settings:    settings,
		Logger:      n.Logger.With().Str("part", "replication").Logger(),
		Guards:      n.Guards.Replication,
	})
}
