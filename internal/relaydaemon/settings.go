// Package relaydaemon runs a relay with its ledger and membership as one
// process behind an adapter, which translates the platform's protocols.
package relaydaemon

import (
	"net"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/quota"
	"github.com/mintpulley/mintpulley/internal/warmup"
	"github.com/mintpulley/mintpulley/internal/yamlfile"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// ErrUnreadable: the settings file cannot be read.
var ErrUnreadable = eris.New("relaydaemon: cannot read the settings")

// Settings is the content of a relay daemon's settings file.
type Settings struct {
	// Adapter names the adapter to the platform.
	Adapter string `yaml:"adapter"`
	// Name names the machine in logs.
	Name   string `yaml:"name"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// Zones is the region of each zone of the fleet. A zone that is not in it counts as one
	// of this daemon's region.
	Zones map[string]string `yaml:"zones"`
	// FrontAddress is where callers reach it, ReadyAddress where it tells
	// whether it takes requests, PeerAddress where other daemons reach it;
	// each "IP:PORT".
	FrontAddress string `yaml:"front_address"`
	ReadyAddress string `yaml:"ready_address"`
	PeerAddress  string `yaml:"peer_address"`
	// MetricsAddress is where figures are read, "IP:PORT"; "" for nowhere.
	MetricsAddress string `yaml:"metrics_address"`
	// Seeds are peer addresses of other daemons, separated by commas.
	Seeds string `yaml:"seeds"`
	// StoreAddress is where the durable store listens, "IP:PORT".
	StoreAddress string `yaml:"store_address"`
	// LedgerSpaces times LedgerPartitions is the number of the ledger's shards,
	// the same in the whole fleet.
	LedgerSpaces     int `yaml:"ledger_spaces"`
	LedgerPartitions int `yaml:"ledger_partitions"`
	// MemoryMegabytes is what the process may take; 0 sets no bound.
	MemoryMegabytes int `yaml:"memory_megabytes"`
	// ProcessorShare is the part of a core that the process gets, ProcessorSpeed
	// how many times as fast that core runs, and LinkMegabits what its link carries
	// in Mbit/s; 0 if that is not known.
	ProcessorShare float64 `yaml:"processor_share"`
	ProcessorSpeed float64 `yaml:"processor_speed"`
	LinkMegabits   float64 `yaml:"link_megabits"`
	// StopSeconds bounds a planned stop.
	StopSeconds float64 `yaml:"stop_seconds"`
	// RevocationMS is within how many milliseconds after the operators took a key
	// away no request may run that is sent with it.
	RevocationMS float64 `yaml:"revocation_milliseconds"`
	// A tenant's requests may be in each span of QuotaWindowSeconds its rate times the
	// span and its burst, QuotaOverage of that more, and QuotaSlack more.
	QuotaWindowSeconds float64 `yaml:"quota_window_seconds"`
	QuotaOverage       float64 `yaml:"quota_overage"`
	QuotaSlack         float64 `yaml:"quota_slack"`
	// EvacuationMS is within how many milliseconds after the operators emptied a zone
	// no request may reach a back end there.
	EvacuationMS float64 `yaml:"evacuation_milliseconds"`
	// A cold back end may get from the whole fleet, in each second, its service's rate times
	// ColdOverage plus ColdSlack requests.
	ColdOverage float64 `yaml:"cold_overage"`
	ColdSlack   float64 `yaml:"cold_slack"`
	// StoreReadMegabytes is how many megabytes a second the store reads for the whole
	// fleet; 0 if that is not known.
	StoreReadMegabytes float64 `yaml:"store_read_megabytes"`
	// StoreMegabytes is how many megabytes the store keeps at most for the whole fleet; 0 if
	// that is not known: then nothing is refused to spare it.
	StoreMegabytes float64 `yaml:"store_megabytes"`
	// LogLevel is "trace", "debug", "info", "warn" or "error".
	LogLevel string `yaml:"log_level"`
}

// DefaultSettings returns settings with everything that has a default.
func DefaultSettings() Settings {
	return Settings{
		LedgerSpaces:     2,
		LedgerPartitions: 12,
		StopSeconds:      8,
		RevocationMS:     5000,

		QuotaWindowSeconds: quota.DefaultTolerance().Window.Seconds(),
		EvacuationMS:       5000,
		ColdOverage:        1,
		LogLevel:           "info",
	}
}

// ReadSettings reads and checks a settings file. The error is ErrUnreadable or
// yamlfile.Problems.
func ReadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrapf(ErrUnreadable, "%v", err)
	}
	return ParseSettings(path, data)
}

// ParseSettings checks the content of a settings file.
func ParseSettings(path string, data []byte) (Settings, error) {
	settings := DefaultSettings()
	_, problems := yamlfile.Decode(path, data, &settings)
	problems = append(problems, settings.check(path)...)
	if len(problems) > 0 {
		return Settings{}, yamlfile.Problems(problems)
	}
	return settings, nil
}

// check returns what is wrong with the settings of a file.
func (s *Settings) check(path string) []yamlfile.Problem {
	var problems []yamlfile.Problem
	add := func(field, reason string) {
		problems = append(problems, yamlfile.Problem{File: path, Field: field, Reason: reason})
	}
	s.checkAddresses(add)
	s.checkMachine(add)
	s.checkBounds(add)
	s.checkFleet(add)
	return problems
}

// checkAddresses checks where this daemon and the store listen.
func (s *Settings) checkAddresses(add func(field, reason string)) {
	addresses := []struct {
		field, value string
		optional     bool
	}{
		{"front_address", s.FrontAddress, false},
		{"ready_address", s.ReadyAddress, false},
		{"peer_address", s.PeerAddress, false},
		{"store_address", s.StoreAddress, false},
		{"metrics_address", s.MetricsAddress, true},
	}
	for _, a := range addresses {
		if a.value == "" && a.optional {
			continue
		}
		if _, err := net.ResolveTCPAddr("tcp", a.value); err != nil || a.value == "" {
			add(a.field, "must be an address \"IP:PORT\"")
		}
	}
}

// checkMachine checks what this daemon is and may use.
func (s *Settings) checkMachine(add func(field, reason string)) {
	if s.Zone == "" {
		add("zone", "must be given")
	}
	if _, err := Adapters.Lookup(s.Adapter); err != nil {
		add("adapter", err.Error())
	}
	if s.LedgerSpaces < 1 || s.LedgerPartitions < 1 {
		add("ledger_spaces, ledger_partitions", "must be at least 1")
	}
	if s.MemoryMegabytes < 0 {
		add("memory_megabytes", "must not be negative")
	}
	if s.ProcessorShare < 0 || s.ProcessorSpeed < 0 || s.LinkMegabits < 0 {
		add("processor_share, processor_speed, link_megabits", "must not be negative")
	}
	if s.StopSeconds <= 0 {
		add("stop_seconds", "must be above 0")
	}
}

// checkBounds checks what the operators promise to others.
func (s *Settings) checkBounds(add func(field, reason string)) {
	if s.RevocationMS <= milliseconds(revocationMargin) {
		add("revocation_milliseconds", "must be above 100")
	}
	if s.QuotaWindowSeconds <= 0 {
		add("quota_window_seconds", "must be above 0")
	}
	if s.QuotaOverage < 0 || s.QuotaSlack < 0 {
		add("quota_overage, quota_slack", "must not be negative")
	}
	if s.EvacuationMS <= 0 {
		add("evacuation_milliseconds", "must be above 0")
	}
	if s.ColdOverage < 1 || s.ColdSlack < 0 {
		add("cold_overage, cold_slack", "must be at least 1 and not negative")
	}
}

// checkFleet checks what the fleet has in common.
func (s *Settings) checkFleet(add func(field, reason string)) {
	if s.StoreReadMegabytes < 0 {
		add("store_read_megabytes", "must not be negative")
	}
	if s.StoreMegabytes < 0 {
		add("store_megabytes", "must not be negative")
	}
	if region, named := s.Zones[s.Zone]; named && region != s.Region {
		add("zones", "names another region for the daemon's own zone than region does")
	}
}

// topology is the fleet's zones as seen from this daemon's.
func (s *Settings) topology() zone.Topology { return zone.NewTopology(s.Zone, s.Region, s.Zones) }

// seedAddresses splits the seeds.
func (s *Settings) seedAddresses() []string {
	var addresses []string
	for part := range strings.SplitSeq(s.Seeds, ",") {
		if part = strings.TrimSpace(part); part != "" {
			addresses = append(addresses, part)
		}
	}
	return addresses
}

func milliseconds(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }

func (s *Settings) revocationTime() time.Duration {
	return time.Duration(s.RevocationMS * float64(time.Millisecond))
}

func (s *Settings) evacuationTime() time.Duration {
	return time.Duration(s.EvacuationMS * float64(time.Millisecond))
}

func (s *Settings) quotaTerms() quota.Tolerance {
	return quota.Tolerance{
		Window:  time.Duration(s.QuotaWindowSeconds * float64(time.Second)),
		Overage: s.QuotaOverage,
		Slack:   s.QuotaSlack,
	}
}

func (s *Settings) coldTerms() warmup.Tolerance {
	return warmup.Tolerance{Overage: s.ColdOverage, Slack: s.ColdSlack}
}

func (s *Settings) stopTime() time.Duration {
	return time.Duration(s.StopSeconds * float64(time.Second))
}
