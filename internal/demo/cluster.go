// Package demo runs a whole fleet over real sockets in one process: the
// stand-ins of the platform and the back ends, three daemons in three zones,
// and programs that use OpenAI's client library.
package demo

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/daemon"
	"github.com/mintpulley/mintpulley/internal/loopback"
	"github.com/mintpulley/mintpulley/internal/settings"
	"github.com/mintpulley/mintpulley/internal/standin/application"
	"github.com/mintpulley/mintpulley/internal/standin/engine"
	"github.com/mintpulley/mintpulley/internal/standin/eventlog"
	"github.com/mintpulley/mintpulley/internal/standin/machinelist"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// zones are the zones of the demonstration.
var zones = []structs.ZoneName{"zone-a", "zone-b", "zone-c"}

// Cluster is a fleet with its stand-ins in one process.
type Cluster struct {
	Log           *eventlog.Log
	Machines      *machinelist.List
	Engines       []*engine.Engine
	EngineIDs     []string
	Applications  map[string]*application.Application
	Daemons       []*daemon.Daemon
	HTTPAddresses []string
	servers       []*http.Server
	// configs are the daemons' settings, kept to start them again.
	configs []settings.Settings
	logger  zerolog.Logger
	// tenants maps key hashes to the tenants of the demonstration.
	tenants map[string]structs.TenantName
}

// ClusterOptions configure a cluster.
type ClusterOptions struct {
	Models       []structs.ModelName
	Applications []string
	Logger       zerolog.Logger
	// AdjustSettings changes the daemons' default settings; nil changes none.
	AdjustSettings func(*settings.Settings)
}

// StartCluster starts the stand-ins and then the daemons.
func StartCluster(options ClusterOptions) (*Cluster, error) {
	c := &Cluster{Log: eventlog.New(), Applications: map[string]*application.Application{}, logger: options.Logger}
	machines, err := c.startBackEnds(options)
	if err != nil {
		return nil, err
	}
	logAddress, err := c.serve(c.Log)
	if err != nil {
		return nil, err
	}
	peers, err := daemonAddresses()
	if err != nil {
		return nil, err
	}
	c.Machines = machinelist.New(append(machines, peers...), time.Second)
	listAddress, err := c.serve(c.Machines)
	if err != nil {
		return nil, err
	}
	for _, machine := range peers {
		if err := c.startDaemon(machine, logAddress, listAddress, options); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Cluster) startBackEnds(options ClusterOptions) ([]structs.Machine, error) {
	var machines []structs.Machine
	for _, zone := range zones {
		e := engine.New(engine.DefaultSettings(options.Models...))
		address, err := c.serve(e)
		if err != nil {
			return nil, err
		}
		c.Engines = append(c.Engines, e)
		c.EngineIDs = append(c.EngineIDs, address)
		machines = append(machines, structs.Machine{Kind: structs.MachineEngine, Address: address, Zone: zone, State: structs.MachineLive})
	}
	for _, name := range options.Applications {
		app := application.New()
		address, err := c.serve(app)
		if err != nil {
			return nil, err
		}
		c.Applications[name] = app
		machines = append(machines, structs.Machine{Kind: structs.MachineApplication, Name: name, Address: address, Zone: zones[0], State: structs.MachineLive})
	}
	return machines, nil
}

func (c *Cluster) startDaemon(machine structs.Machine, logAddress, listAddress string, options ClusterOptions) error {
	config := settings.Default()
	config.Zone = machine.Zone
	config.PeerAddress = machine.Address
	config.EventLog.Addresses = []string{logAddress}
	config.MachineList.Addresses = []string{listAddress}
	var err error
	if config.HTTPAddress, err = loopback.FreeAddress(); err != nil {
		return err
	}
	if options.AdjustSettings != nil {
		options.AdjustSettings(&config)
	}
	d, err := daemon.Start(config, options.Logger)
	if err != nil {
		return err
	}
	c.Daemons = append(c.Daemons, d)
	c.HTTPAddresses = append(c.HTTPAddresses, config.HTTPAddress)
	c.configs = append(c.configs, config)
	return nil
}

// RestartAll kills all daemons at once and starts them again at their
// addresses.
func (c *Cluster) RestartAll() error {
	for _, d := range c.Daemons {
		d.Kill()
	}
	for i, config := range c.configs {
		d, err := daemon.Start(config, c.logger)
		if err != nil {
			return err
		}
		c.Daemons[i] = d
	}
	return nil
}

// daemonAddresses returns one daemon per zone, each with a free address.
func daemonAddresses() ([]structs.Machine, error) {
	var daemons []structs.Machine
	for _, zone := range zones {
		address, err := loopback.FreeAddress()
		if err != nil {
			return nil, err
		}
		daemons = append(daemons, structs.Machine{Kind: structs.MachineDaemon, Address: address, Zone: zone, State: structs.MachineLive})
	}
	return daemons, nil
}

// serve serves HTTP on a free port and returns the address.
func (c *Cluster) serve(handler http.Handler) (string, error) {
	server, address, err := loopback.Serve(handler)
	if err != nil {
		return "", eris.Wrap(err, "demo: serve")
	}
	c.servers = append(c.servers, server)
	return address, nil
}

// Close shuts down the daemons and then the stand-ins.
func (c *Cluster) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, d := range c.Daemons {
		_ = d.Stop(ctx) // the process ends anyway; the daemon has logged why it was late
	}
	for _, server := range c.servers {
		_ = server.Close()
	}
}
