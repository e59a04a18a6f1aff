package load

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/loopback"
	"github.com/mintpulley/mintpulley/internal/settings"
	"github.com/mintpulley/mintpulley/internal/standin/application"
	"github.com/mintpulley/mintpulley/internal/standin/engine"
	"github.com/mintpulley/mintpulley/internal/standin/eventlog"
	"github.com/mintpulley/mintpulley/internal/standin/machinelist"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// StandIns are the engines and the platform for one daemon that runs in a
// separate process, so that its processor time is measured separately.
type StandIns struct {
	Engines []string
	// HTTPAddress is the address on which the daemon will listen.
	HTTPAddress string
	servers     []*http.Server
}

// StandInOptions configure stand-ins.
type StandInOptions struct {
	Engines int
	Engine  engine.Settings
	// SettingsFile is the path to which the daemon's settings are written.
	SettingsFile string
}

// readyPause is the interval between readiness checks.
const readyPause = 200 * time.Millisecond

// StartStandIns starts the stand-ins and writes the daemon's settings.
func StartStandIns(options StandInOptions) (*StandIns, error) {
	s := &StandIns{}
	config := settings.Default()
	config.Zone = "zone-a"
	config.LogLevel = "warn"
	if err := takeAddresses(&config); err != nil {
		return nil, err
	}
	s.HTTPAddress = config.HTTPAddress
	machines := []structs.Machine{{Kind: structs.MachineDaemon, Address: config.PeerAddress, Zone: config.Zone, State: structs.MachineLive}}
	for range options.Engines {
		address, err := s.serve(engine.New(options.Engine))
		if err != nil {
			return nil, err
		}
		s.Engines = append(s.Engines, address)
		machines = append(machines, structs.Machine{Kind: structs.MachineEngine, Address: address, Zone: config.Zone, State: structs.MachineLive})
	}
	address, err := s.serve(application.New())
	if err != nil {
		return nil, err
	}
	machines = append(machines, structs.Machine{Kind: structs.MachineApplication, Name: standInTarget, Address: address, Zone: config.Zone, State: structs.MachineLive})
	if err := s.startPlatform(&config, machines); err != nil {
		return nil, err
	}
	encoded, err := yaml.Marshal(config)
	if err != nil {
		return nil, eris.Wrap(err, "load: settings")
	}
	return s, eris.Wrap(os.WriteFile(options.SettingsFile, encoded, 0o600), "load: settings")
}

// takeAddresses assigns free addresses to the daemon.
func takeAddresses(config *settings.Settings) error {
	var err error
	if config.PeerAddress, err = loopback.FreeAddress(); err != nil {
		return eris.Wrap(err, "load: the daemon's peer address")
	}
	config.HTTPAddress, err = loopback.FreeAddress()
	return eris.Wrap(err, "load: the daemon's HTTP address")
}

func (s *StandIns) startPlatform(config *settings.Settings, machines []structs.Machine) error {
	log := eventlog.New()
	if err := publish(log); err != nil {
		return err
	}
	address, err := s.serve(log)
	if err != nil {
		return err
	}
	config.EventLog.Addresses = []string{address}
	address, err = s.serve(machinelist.New(machines, time.Second))
	config.MachineList.Addresses = []string{address}
	return err
}

func publish(log *eventlog.Log) error {
	payload, err := configuration.EncodeFullChange("load", StandInConfiguration())
	if err != nil {
		return eris.Wrap(err, "load: configuration")
	}
	log.Append(framework.StreamConfiguration, "load", payload)
	return nil
}

func (s *StandIns) serve(handler http.Handler) (string, error) {
	server, address, err := loopback.Serve(handler)
	if err != nil {
		return "", eris.Wrap(err, "load: serve")
	}
	s.servers = append(s.servers, server)
	return address, nil
}

// WaitForDaemon returns once the daemon reports ready.
func (s *StandIns) WaitForDaemon(ctx context.Context) error {
	for {
		response, err := http.Get("http://" + s.HTTPAddress + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !sleepUntil(ctx, time.Now().Add(readyPause)) {
			return eris.Wrap(ctx.Err(), "load: the daemon was not ready")
		}
	}
}

// Close stops the stand-ins.
func (s *StandIns) Close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}
