// Package settings loads a daemon's settings from a YAML file and flags, which
// take precedence, and validates every field. It reports all problems at once.
package settings

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/yamlfile"
)

// ErrUnreadable is returned when the settings file cannot be read.
var ErrUnreadable = eris.New("settings: cannot read the file")

// Settings is the content of a daemon's settings file.
type Settings struct {
	// PeerAddress is the address at which other daemons reach this one,
	// "IP:PORT".
	PeerAddress string `yaml:"peer_address"`
	// PeerListen is the address to listen on for other daemons, "IP:PORT", if it
	// differs from PeerAddress, as with port forwarding; "" means PeerAddress.
	PeerListen string `yaml:"peer_listen"`
	// HTTPAddress is the address at which callers and operators reach this
	// daemon, "IP:PORT".
	HTTPAddress string             `yaml:"http_address"`
	Zone        structs.ZoneName   `yaml:"zone"`
	Region      structs.RegionName `yaml:"region"`
	// Shards is the number of program shards. It is fixed and must be the same
	// in the whole fleet.
	Shards       int           `yaml:"shards"`
	EventLog     Service       `yaml:"event_log"`
	MachineList  Service       `yaml:"machine_list"`
	Engines      BackEndDriver `yaml:"engines"`
	Applications BackEndDriver `yaml:"applications"`
	Limits       Limits        `yaml:"limits"`
	Intervals    Intervals     `yaml:"intervals"`
	// Memory bounds the memory that programs use in this daemon.
	Memory Memory `yaml:"memory"`
	// Operators may use the operators' interface. If empty, nobody may.
	Operators []Operator `yaml:"operators"`
	// LogLevel is "trace", "debug", "info", "warn" or "error".
	LogLevel string `yaml:"log_level"`
	// LogFormat is "json" or "console".
	LogFormat string `yaml:"log_format"`
}

// Service selects the driver and the replicas of an external service.
type Service struct {
	Driver    string        `yaml:"driver"`
	Addresses []string      `yaml:"addresses"`
	Timeout   time.Duration `yaml:"timeout"`
}

// BackEndDriver selects the driver of back ends, whose addresses come from the
// machine list.
type BackEndDriver struct {
	Driver  string        `yaml:"driver"`
	Timeout time.Duration `yaml:"timeout"`
}

// Limits bounds the calls of one daemon.
type Limits struct {
	// MaxQueuedCalls is the maximum number of queued calls.
	MaxQueuedCalls int `yaml:"queue"`
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `yaml:"body_bytes"`
	// CallTimeout is the default deadline of a call.
	CallTimeout time.Duration `yaml:"call_timeout"`
	// UnknownAfter is how long a back end may fail to report the outcome of a
	// call before the caller is told that the outcome is unknown.
	UnknownAfter time.Duration `yaml:"unknown_after"`
	// StallAfter is how long a back end may make no progress on a call.
	StallAfter time.Duration `yaml:"stall_after"`
	// ShutdownTimeout bounds a graceful shutdown. Requests that still run at its
	// end are aborted.
	ShutdownTimeout time.Duration `yaml:"stop_timeout"`
}

// Intervals are the pauses between periodic reads.
type Intervals struct {
	// Configuration is the pause between reads of the configuration log in a
	// small fleet; it grows with the fleet up to ConfigurationMaximum.
	Configuration        time.Duration `yaml:"configuration"`
	ConfigurationMaximum time.Duration `yaml:"configuration_maximum"`
	// MachineList is the pause between reads of the machine list.
	MachineList time.Duration `yaml:"machine_list"`
	// EngineLoad is the pause between reads of an engine's load report.
	EngineLoad time.Duration `yaml:"engine_load"`
}

// Memory bounds the memory that programs use in a daemon, in bytes.
type Memory struct {
	// NewPrograms is the size from which new programs are refused. Calls is the
	// size from which all calls are, including those of running programs.
	NewPrograms int64 `yaml:"new_programs"`
	Calls       int64 `yaml:"calls"`
	// Unpacked bounds the decompressed copies of histories, which are not
	// counted above.
	Unpacked int64 `yaml:"unpacked"`
	// WarmTime is how long a history stays decompressed after its last use.
	WarmTime time.Duration `yaml:"warm_time"`
}

// Operator is an account that may use the operators' interface.
type Operator struct {
	// Name identifies the operator in the history of the configuration.
	Name string `yaml:"name"`
	// KeyHash is the hex SHA-256 digest of the operator's bearer key.
	KeyHash string `yaml:"key_hash"`
}

// Default returns the default settings; fields without a default are empty.
func Default() Settings {
	return Settings{
		Region:       "local",
		Shards:       64,
		EventLog:     Service{Driver: "http", Timeout: 2 * time.Second},
		MachineList:  Service{Driver: "http", Timeout: 2 * time.Second},
		Engines:      BackEndDriver{Driver: "openai", Timeout: 2 * time.Second},
		Applications: BackEndDriver{Driver: "http", Timeout: 30 * time.Second},
		Limits: Limits{
			MaxQueuedCalls:  4096,
			MaxBodyBytes:    16 << 20,
			CallTimeout:     10 * time.Minute,
			UnknownAfter:    10 * time.Second,
			StallAfter:      30 * time.Second,
			ShutdownTimeout: 5 * time.Minute,
		},
		Intervals: Intervals{
			Configuration:        500 * time.Millisecond,
			ConfigurationMaximum: 10 * time.Second,
			MachineList:          time.Second,
			EngineLoad:           500 * time.Millisecond,
		},
		Memory:    Memory(program.DefaultMemoryLimits()),
		LogLevel:  "info",
		LogFormat: LogFormatJSON,
	}
}

// Override sets one field and takes precedence over the file.
type Override struct {
	// Field is the path of the field, Flag the name of the flag that set it.
	Field string
	Flag  string
	Apply func(*Settings)
}

// Read loads a settings file without overrides. The error is ErrUnreadable or
// yamlfile.Problems.
func Read(path string) (Settings, error) { return Load(path, nil) }

// Load applies a settings file and then the overrides to the default settings,
// and validates the result. An empty path means no file.
func Load(path string, overrides []Override) (Settings, error) {
	settings := Default()
	var lines yamlfile.Lines
	var problems []yamlfile.Problem
	if path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return Settings{}, eris.Wrap(ErrUnreadable, err.Error())
		}
		lines, problems = yamlfile.Decode(path, data, &settings)
	}
	unread := map[string]bool{}
	for _, problem := range problems {
		unread[problem.Field] = true
	}
	flags := map[string]string{}
	for _, override := range overrides {
		override.Apply(&settings)
		flags[override.Field] = override.Flag
	}
	for _, found := range Check(settings) {
		if unread[found.Field] {
			continue // already reported as unreadable
		}
		problems = append(problems, locate(found, path, lines, flags))
	}
	if len(problems) > 0 {
		return Settings{}, yamlfile.Problems(problems)
	}
	return settings, nil
}

// locate adds the flag, or the file and line, from which an invalid value came.
func locate(found yamlfile.Problem, path string, lines yamlfile.Lines, flags map[string]string) yamlfile.Problem {
	if flag, overridden := flags[found.Field]; overridden {
		found.File = flag
		return found
	}
	found.File = path
	if path == "" {
		found.File = "settings"
	}
	found.Line = lines.Line(found.Field)
	return found
}
