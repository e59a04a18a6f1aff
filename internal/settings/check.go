package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/yamlfile"
)

// Log formats.
const (
	LogFormatJSON    = "json"
	LogFormatConsole = "console"
)

// Bounds of the settings.
const (
	maximumShards    = 65_536
	maximumQueue     = 1_000_000
	minimumBody      = 1 << 10
	maximumBody      = 1 << 30
	minimumMemory    = 1 << 20
	maximumMemory    = 1 << 40
	shortestInterval = 10 * time.Millisecond
	longestInterval  = time.Hour
	shortestTimeout  = 10 * time.Millisecond
	longestTimeout   = time.Hour
	longestCall      = 24 * time.Hour
	maximumNameBytes = 128
	keyHashBytes     = 32
)

var (
	logLevels  = []string{"trace", "debug", "info", "warn", "error"}
	logFormats = []string{LogFormatJSON, LogFormatConsole}
	plainName  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
)

// Check returns all problems of the settings, without file and line.
func Check(settings Settings) []yamlfile.Problem {
	c := &checker{}
	c.ownAddress("peer_address", settings.PeerAddress)
	if settings.PeerListen != "" {
		c.address("peer_listen", settings.PeerListen)
	}
	c.ownAddress("http_address", settings.HTTPAddress)
	if settings.PeerAddress != "" && settings.PeerAddress == settings.HTTPAddress {
		c.add("http_address", "is the peer address, want another port")
	}
	c.name("zone", string(settings.Zone))
	c.name("region", string(settings.Region))
	c.within("shards", int64(settings.Shards), 1, maximumShards)
	c.service("event_log", settings.EventLog)
	c.driver("event_log.driver", settings.EventLog.Driver, framework.EventLogs.Names())
	c.service("machine_list", settings.MachineList)
	c.driver("machine_list.driver", settings.MachineList.Driver, framework.MachineLists.Names())
	c.driver("engines.driver", settings.Engines.Driver, framework.EngineDrivers.Names())
	c.durationWithin("engines.timeout", settings.Engines.Timeout, shortestTimeout, longestTimeout)
	c.driver("applications.driver", settings.Applications.Driver, framework.ApplicationDrivers.Names())
	c.durationWithin("applications.timeout", settings.Applications.Timeout, shortestTimeout, longestTimeout)
	c.limits(settings.Limits)
	c.intervals(settings.Intervals)
	c.memory(settings.Memory)
	c.operators(settings.Operators)
	c.oneOf("log_level", settings.LogLevel, logLevels)
	c.oneOf("log_format", settings.LogFormat, logFormats)
	return c.problems
}

type checker struct{ problems []yamlfile.Problem }

func (c *checker) add(field, format string, arguments ...any) {
	c.problems = append(c.problems, yamlfile.Problem{Field: field, Reason: fmt.Sprintf(format, arguments...)})
}

// address checks an IP address with port. Host names are not allowed, so that a
// daemon does not depend on DNS to reach its fleet.
func (c *checker) address(field, value string) (netip.AddrPort, bool) {
	if value == "" {
		c.add(field, "is missing, want an address such as 10.0.0.1:7000")
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.add(field, "is %q, want IP:PORT with the IP as a number; names are not looked up", value)
		return netip.AddrPort{}, false
	}
	if address.Port() == 0 {
		c.add(field, "is %q, want a port from 1 to 65535", value)
		return netip.AddrPort{}, false
	}
	return address, true
}

// ownAddress checks an address at which others reach this daemon.
func (c *checker) ownAddress(field, value string) {
	address, good := c.address(field, value)
	if good && address.Addr().IsUnspecified() {
		c.add(field, "is %q, want the address by which others reach this machine", value)
	}
}

func (c *checker) name(field, value string) {
	switch {
	case value == "":
		c.add(field, "is missing")
	case len(value) > maximumNameBytes || !plainName.MatchString(value):
		c.add(field, "is %q, want at most %d of A-Z a-z 0-9 . _ - , the first a letter or digit", value, maximumNameBytes)
	}
}

func (c *checker) within(field string, value, low, high int64) {
	if value < low || value > high {
		c.add(field, "is %d, want %d to %d", value, low, high)
	}
}

func (c *checker) durationWithin(field string, value, low, high time.Duration) {
	if value < low || value > high {
		c.add(field, "is %s, want %s to %s", value, low, high)
	}
}

func (c *checker) oneOf(field, value string, known []string) {
	if !slices.Contains(known, value) {
		c.add(field, "is %q, want one of %s", value, strings.Join(known, ", "))
	}
}

func (c *checker) driver(field, value string, known []string) {
	if !slices.Contains(known, value) {
		c.add(field, "there is no driver %q, known are %s", value, strings.Join(known, ", "))
	}
}

func (c *checker) service(field string, service Service) {
	if len(service.Addresses) == 0 {
		c.add(field+".addresses", "is missing, want at least one IP:PORT")
	}
	for i, address := range service.Addresses {
		at := fmt.Sprintf("%s.addresses[%d]", field, i)
		c.address(at, address)
		if slices.Contains(service.Addresses[:i], address) {
			c.add(at, "%s is listed twice", address)
		}
	}
	c.durationWithin(field+".timeout", service.Timeout, shortestTimeout, longestTimeout)
}

func (c *checker) limits(limits Limits) {
	c.within("limits.queue", int64(limits.MaxQueuedCalls), 1, maximumQueue)
	c.within("limits.body_bytes", limits.MaxBodyBytes, minimumBody, maximumBody)
	c.durationWithin("limits.call_timeout", limits.CallTimeout, time.Second, longestCall)
	c.durationWithin("limits.unknown_after", limits.UnknownAfter, shortestTimeout, longestTimeout)
	c.durationWithin("limits.stall_after", limits.StallAfter, shortestTimeout, longestTimeout)
	c.durationWithin("limits.stop_timeout", limits.ShutdownTimeout, time.Second, longestCall)
}

func (c *checker) intervals(intervals Intervals) {
	c.durationWithin("intervals.configuration", intervals.Configuration, shortestInterval, longestInterval)
	c.durationWithin("intervals.configuration_maximum", intervals.ConfigurationMaximum, intervals.Configuration, longestInterval)
	c.durationWithin("intervals.machine_list", intervals.MachineList, shortestInterval, longestInterval)
	c.durationWithin("intervals.engine_load", intervals.EngineLoad, shortestInterval, longestInterval)
}

func (c *checker) memory(memory Memory) {
	c.within("memory.new_programs", memory.NewPrograms, minimumMemory, maximumMemory)
	c.within("memory.calls", memory.Calls, memory.NewPrograms, maximumMemory)
	c.within("memory.unpacked", memory.Unpacked, 0, maximumMemory)
	c.durationWithin("memory.warm_time", memory.WarmTime, shortestInterval, longestInterval)
}

func (c *checker) operators(operators []Operator) {
	names, hashes := map[string]bool{}, map[string]bool{}
	for i, operator := range operators {
		field := fmt.Sprintf("operators[%d]", i)
		c.name(field+".name", operator.Name)
		if names[operator.Name] {
			c.add(field+".name", "%q is listed twice", operator.Name)
		}
		decoded, err := hex.DecodeString(operator.KeyHash)
		if err != nil || len(decoded) != keyHashBytes || operator.KeyHash != strings.ToLower(operator.KeyHash) {
			c.add(field+".key_hash", "is not a SHA-256 digest in %d lower-case hexadecimal digits", 2*keyHashBytes)
		} else if hashes[operator.KeyHash] {
			c.add(field+".key_hash", "is the key of another operator")
		}
		names[operator.Name], hashes[operator.KeyHash] = true, true
	}
}
