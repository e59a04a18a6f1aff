// Package daemon runs a node on the system clock and real sockets: it opens the
// listeners, creates the drivers named by the settings, and shuts down in order.
package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/metrics"
	"github.com/mintpulley/mintpulley/internal/node"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/peer/tcp"
	_ "github.com/mintpulley/mintpulley/internal/plugins" // registers all drivers
	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/settings"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Daemon is a running node with its peer transport and HTTP server.
type Daemon struct {
	Node      *node.Node
	transport *tcp.Transport
	server    *http.Server
	logger    zerolog.Logger
}

// handlerSlot lets the transport start before its node exists; messages received
// until then are dropped.
type handlerSlot struct{ node atomic.Pointer[node.Node] }

// Receive implements peer.Handler.
func (s *handlerSlot) Receive(from structs.DaemonID, message peer.Message) {
	if n := s.node.Load(); n != nil {
		n.Receive(from, message)
	}
}

// Start opens the listeners and starts the node.
func Start(config settings.Settings, logger zerolog.Logger) (*Daemon, error) {
	drivers, err := newDrivers(config)
	if err != nil {
		return nil, err
	}
	self := structs.Daemon{
		ID:          structs.NewDaemonID(config.PeerAddress, uint64(time.Now().UnixNano())),
		Zone:        config.Zone,
		Region:      config.Region,
		HTTPAddress: config.HTTPAddress,
	}
	slot := &handlerSlot{}
	traffic := &metrics.Traffic{}
	peerListenAddress := config.PeerListen
	if peerListenAddress == "" {
		peerListenAddress = config.PeerAddress
	}
	transport, err := tcp.ListenOn(peerListenAddress, self.ID, slot, traffic.Count, logger.With().Str("part", "peer").Logger())
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", config.HTTPAddress)
	if err != nil {
		transport.Close()
		return nil, eris.Wrap(err, "daemon: listen")
	}
	n := node.New(node.Options{
		Self:      self,
		Clock:     clock.System(),
		Random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Transport: transport,
		Drivers:   drivers,
		Settings:  mergeNodeSettings(config),
		Logger:    logger,
	})
	slot.node.Store(n)
	d := &Daemon{
		Node:      n,
		transport: transport,
		server:    newServer(n, config, traffic, logger),
		logger:    logger,
	}
	go d.serveHTTP(listener)
	n.Start()
	logger.Info().Str("part", "daemon").Str("id", string(self.ID)).Str("zone", string(self.Zone)).Msg("Daemon started.")
	return d, nil
}

// serveHTTP serves requests until the server is shut down or closed.
func (d *Daemon) serveHTTP(listener net.Listener) {
	if err := d.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		d.logger.Error().Str("part", "daemon").Err(err).Msg("HTTP server failed. Callers are no longer served.")
	}
}

// mergeNodeSettings returns the default node settings with the configured values
// applied.
func mergeNodeSettings(config settings.Settings) node.Settings {
	result := node.DefaultSettings()
	result.Shards = config.Shards
	result.QueueLimit = config.Limits.MaxQueuedCalls
	result.Dispatch.UnknownAfter = config.Limits.UnknownAfter
	result.Dispatch.StallAfter = config.Limits.StallAfter
	result.Memory = program.MemoryLimits(config.Memory)
	result.Configuration.PollInterval = config.Intervals.Configuration
	result.Configuration.MaximumPollInterval = config.Intervals.ConfigurationMaximum
	result.Backends.ListInterval = config.Intervals.MachineList
	result.Backends.LoadInterval = config.Intervals.EngineLoad
	return result
}

func newDrivers(config settings.Settings) (framework.Drivers, error) {
	var drivers framework.Drivers
	engines, err := framework.EngineDrivers.Lookup(config.Engines.Driver)
	if err != nil {
		return drivers, eris.Wrap(err, "settings: engines.driver")
	}
	applications, err := framework.ApplicationDrivers.Lookup(config.Applications.Driver)
	if err != nil {
		return drivers, eris.Wrap(err, "settings: applications.driver")
	}
	eventLog, err := framework.EventLogs.Lookup(config.EventLog.Driver)
	if err != nil {
		return drivers, eris.Wrap(err, "settings: event_log.driver")
	}
	machines, err := framework.MachineLists.Lookup(config.MachineList.Driver)
	if err != nil {
		return drivers, eris.Wrap(err, "settings: machine_list.driver")
	}
	drivers.Engines = engines(framework.DriverSettings{Timeout: config.Engines.Timeout})
	drivers.Applications = applications(framework.DriverSettings{Timeout: config.Applications.Timeout})
	drivers.Log = eventLog(framework.DriverSettings{Addresses: config.EventLog.Addresses, Timeout: config.EventLog.Timeout})
	drivers.Machines = machines(framework.DriverSettings{Addresses: config.MachineList.Addresses, Timeout: config.MachineList.Timeout})
	return drivers, nil
}

// Stop shuts the daemon down gracefully, at most until ctx ends: it refuses new
// work, answers the requests under way and hands over its shards; then it closes
// the listeners.
func (d *Daemon) Stop(ctx context.Context) error {
	leaveDone := make(chan struct{})
	d.Node.Leave(func() { close(leaveDone) })
	d.server.SetKeepAlivesEnabled(false)
	select {
	case <-leaveDone:
	case <-ctx.Done():
		d.logger.Warn().Str("part", "daemon").Int("shards", d.Node.Replication.ShardsNeedingThisDaemon()).
			Msg("Shutdown deadline passed. These shards have no majority without this daemon.")
	}
	err := d.server.Shutdown(ctx)
	d.Node.Stop()
	d.transport.Close()
	d.logger.Info().Str("part", "daemon").Msg("Daemon stopped.")
	return eris.Wrap(err, "daemon: stop")
}

// Kill ends the daemon at once, like a crash of its machine: no request is
// answered and no shard is handed over.
func (d *Daemon) Kill() {
	d.transport.Close()
	_ = d.server.Close()
	d.Node.Stop()
}
