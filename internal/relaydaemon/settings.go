// Package relaydaemon runs a relay with its ledger and membership as one process behind an adapter,
// which translates the platform's protocols.
package relaydaemon

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/quota"
	"github.com/mintpulley/mintpulley/internal/warmup"
	"github.com/mintpulley/mintpulley/internal/yamlfile"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// ErrUnreadable: the settings file cannot be read.
var ErrUnreadable = eris.New("relaydaemon: cannot read the settings")

// maxHeartbeat is the longest interval of heartbeats that the settings may name: it would take
// longer to notice a back end that is gone than any caller waits.
const maxHeartbeat = 10 * time.Minute

const (
	// defaultStoreRecordBytes and defaultStoreCallBytes are the bounds of an append if the settings
	// do not name them.
	defaultStoreRecordBytes = 256 << 10
	defaultStoreCallBytes   = 2 << 20
	// minStoreRecordBytes leaves room for some text in the record of a turn.
	minStoreRecordBytes = 8 << 10
)

// Settings is the content of a relay daemon's settings file.
type Settings struct {
	// Adapter is the name of the platform's adapter.
	Adapter string `yaml:"adapter"`
	// Name is the machine's name in logs.
	Name   string `yaml:"name"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// Zones maps each zone of the fleet to its region. A zone that is missing belongs to this
	// daemon's region.
	Zones map[string]string `yaml:"zones"`
	// FrontAddress serves callers, ReadyAddress the platform's readiness probe, and PeerAddress
	// other daemons; each is "IP:PORT".
	FrontAddress string `yaml:"front_address"`
	ReadyAddress string `yaml:"ready_address"`
	PeerAddress  string `yaml:"peer_address"`
	// MetricsAddress serves metrics, "IP:PORT"; "" for none.
	MetricsAddress string `yaml:"metrics_address"`
	// Seeds are peer addresses of other daemons, separated by commas.
	Seeds string `yaml:"seeds"`
	// StoreAddress is the address of the durable store, "IP:PORT".
	StoreAddress string `yaml:"store_address"`
	// LedgerSpaces times LedgerPartitions is the number of the ledger's shards. They must be the
	// same in the whole fleet.
	LedgerSpaces     int `yaml:"ledger_spaces"`
	LedgerPartitions int `yaml:"ledger_partitions"`
	// MemoryMegabytes is the memory limit of the process; nil for none.
	MemoryMegabytes *float64 `yaml:"memory_megabytes"`
	// ProcessorShare is the share of a core that the process gets, ProcessorSpeed the relative
	// speed of that core, and LinkMegabits the bandwidth of its network link in Mbit/s; 0 if
	// unknown.
	ProcessorShare float64 `yaml:"processor_share"`
	ProcessorSpeed float64 `yaml:"processor_speed"`
	LinkMegabits   float64 `yaml:"link_megabits"`
	// StopSeconds is the stop time: how many seconds after the begin of a planned shutdown the
	// platform kills the process. The shutdown deadline is exitMargin before the kill.
	StopSeconds float64 `yaml:"stop_seconds"`
	// StartSeconds is how many seconds the start waits for addresses that are taken, or not the
	// machine's yet.
	StartSeconds float64 `yaml:"start_seconds"`
	// HeartbeatMS is the interval in milliseconds at which running back ends write their entries.
	HeartbeatMS float64 `yaml:"heartbeat_milliseconds"`
	// RevocationMS is the time in milliseconds after the revocation of a key from which no request
	// sent with it may run.
	RevocationMS float64 `yaml:"revocation_milliseconds"`
	// In each span of QuotaWindowSeconds, a tenant may make as many requests as its rate times the
	// span plus its burst; QuotaOverage is the tolerated excess as a share of that, and QuotaSlack
	// a constant one.
	QuotaWindowSeconds float64 `yaml:"quota_window_seconds"`
	QuotaOverage       float64 `yaml:"quota_overage"`
	QuotaSlack         float64 `yaml:"quota_slack"`
	// EvacuationMS is the time in milliseconds after the order to evacuate a zone from which no
	// request may reach a back end there.
	EvacuationMS float64 `yaml:"evacuation_milliseconds"`
	// A cold back end may get up to its service's rate times ColdOverage plus ColdSlack requests
	// per second from the whole fleet.
	ColdOverage float64 `yaml:"cold_overage"`
	ColdSlack   float64 `yaml:"cold_slack"`
	// StoreReadMegabytes is the number of megabytes per second that the store serves to the whole
	// fleet; 0 if unknown.
	StoreReadMegabytes float64 `yaml:"store_read_megabytes"`
	// StoreMegabytes is the store's capacity for the whole fleet in megabytes; 0 if unknown: then
	// no request is refused to save space.
	StoreMegabytes float64 `yaml:"store_megabytes"`
	// StoreRecordBytes and StoreCallBytes are the most bytes of one record, and of all records of one
	// append, that the store takes.
	StoreRecordBytes int `yaml:"store_record_bytes"`
	StoreCallBytes   int `yaml:"store_call_bytes"`
	// LogLevel is "trace", "debug", "info", "warn" or "error".
	LogLevel string `yaml:"log_level"`
}

// DefaultSettings returns the settings with their default values.
func DefaultSettings() Settings {
	return Settings{
		LedgerSpaces:     2,
		LedgerPartitions: 12,
		StopSeconds:      8,
		StartSeconds:     60,
		StoreRecordBytes: defaultStoreRecordBytes,
		StoreCallBytes:   defaultStoreCallBytes,
		RevocationMS:     5000,
		HeartbeatMS:      milliseconds(instance.DefaultHeartbeat),

		QuotaWindowSeconds: quota.DefaultTolerance().Window.Seconds(),
		EvacuationMS:       5000,
		ColdOverage:        1,
		LogLevel:           "info",
	}
}

// ReadSettings reads and checks a settings file. The error is ErrUnreadable or yamlfile.Problems.
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

// check returns the problems of the settings in a file.
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

// checkAddresses checks the addresses of this daemon and of the store.
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

// checkMachine checks the identity and the resources of this daemon.
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
	if s.MemoryMegabytes != nil && !(*s.MemoryMegabytes >= minMemoryMegabytes) { // NaN compares as false
		add("memory_megabytes", fmt.Sprintf("is %v, must be at least %d", *s.MemoryMegabytes, minMemoryMegabytes))
	}
	if s.ProcessorShare < 0 || s.ProcessorSpeed < 0 || s.LinkMegabits < 0 {
		add("processor_share, processor_speed, link_megabits", "must not be negative")
	}
	if s.StopSeconds <= 0 {
		add("stop_seconds", "must be above 0")
	}
	if s.StartSeconds <= 0 {
		add("start_seconds", "must be above 0")
	}
}

// checkBounds checks the limits that operators promise to others.
func (s *Settings) checkBounds(add func(field, reason string)) {
	if s.HeartbeatMS <= 0 || s.HeartbeatMS > milliseconds(maxHeartbeat) {
		add("heartbeat_milliseconds", fmt.Sprintf("is %v, must be above 0 and at most %v", s.HeartbeatMS, milliseconds(maxHeartbeat)))
	}
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

// checkFleet checks what must be the same in the whole fleet.
func (s *Settings) checkFleet(add func(field, reason string)) {
	if s.StoreReadMegabytes < 0 {
		add("store_read_megabytes", "must not be negative")
	}
	if s.StoreRecordBytes < minStoreRecordBytes {
		add("store_record_bytes", fmt.Sprintf("is %d, must be at least %d", s.StoreRecordBytes, minStoreRecordBytes))
	}
	if s.StoreCallBytes < s.StoreRecordBytes {
		add("store_call_bytes", fmt.Sprintf("is %d, must be at least store_record_bytes, which is %d", s.StoreCallBytes, s.StoreRecordBytes))
	}
	if s.StoreMegabytes < 0 {
		add("store_megabytes", "must not be negative")
	}
	if region, named := s.Zones[s.Zone]; named && region != s.Region {
		add("zones", "names another region for the daemon's own zone than region does")
	}
}

// topology returns the fleet's zones as seen from this daemon's.
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

func (s *Settings) heartbeat() time.Duration {
	return time.Duration(s.HeartbeatMS * float64(time.Millisecond))
}

func (s *Settings) revocationTime() time.Duration {
	return time.Duration(s.RevocationMS * float64(time.Millisecond))
}

func (s *Settings) evacuationTime() time.Duration {
	return time.Duration(s.EvacuationMS * float64(time.Millisecond))
}

func (s *Settings) quotaTolerance() quota.Tolerance {
	return quota.Tolerance{
		Window:  time.Duration(s.QuotaWindowSeconds * float64(time.Second)),
		Overage: s.QuotaOverage,
		Slack:   s.QuotaSlack,
	}
}

func (s *Settings) coldTolerance() warmup.Tolerance {
	return warmup.Tolerance{Overage: s.ColdOverage, Slack: s.ColdSlack}
}

func (s *Settings) startTime() time.Duration {
	return time.Duration(s.StartSeconds * float64(time.Second))
}

func (s *Settings) stopTime() time.Duration {
	return time.Duration(s.StopSeconds * float64(time.Second))
}
