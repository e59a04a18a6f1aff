// Package settings reads and checks a daemon's settings: a YAML file, flags
// over it, and a check of every field that names all that is wrong at once.
package settings

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/yamlfile"
)

// ErrUnreadable: the settings file cannot be read.
var ErrUnreadable = eris.New("settings: cannot read the file")

// Settings is the content of a daemon's settings file.
type Settings struct {
	// PeerAddress is where other daemons reach this one, "IP:PORT".
	PeerAddress string `yaml:"peer_address"`
	// PeerListen is where it listens for them, "IP:PORT", if the peer address
	// leads here by way of another; "" means the peer address itself.
	PeerListen string `yaml:"peer_listen"`
	// HTTPAddress is where callers and operators reach it, "IP:PORT".
	HTTPAddress string             `yaml:"http_address"`
	Zone        structs.ZoneName   `yaml:"zone"`
	Region      structs.RegionName `yaml:"region"`
	// Shards is the fixed number of program shards, the same in the whole fleet.
	Shards       int           `yaml:"shards"`
	EventLog     Service       `yaml:"event_log"`
	MachineList  Service       `yaml:"machine_list"`
	Engines      BackEndDriver `yaml:"engines"`
	Applications BackEndDriver `yaml:"applications"`
	Limits       Limits        `yaml:"limits"`
	Intervals    Intervals     `yaml:"intervals"`
	// Memory bounds what programs take in this daemon.
	Memory Memory `yaml:"memory"`
	// Operators may use the operators' interface. With none, nobody may.
	Operators []Operator `yaml:"operators"`
	// LogLevel is "trace", "debug", "info", "warn" or "error".
	LogLevel string `yaml:"log_level"`
	// LogFormat is "json" or "console".
	LogFormat string `yaml:"log_format"`
}

// Service names an outside service and its dialect.
type Service struct {
	Driver    string        `yaml:"driver"`
	Addresses []string      `yaml:"addresses"`
	Timeout   time.Duration `yaml:"timeout"`
}

// BackEndDriver names the dialect of back ends that are found on the machine list.
type BackEndDriver struct {
	Driver  string        `yaml:"driver"`
	Timeout time.Duration `yaml:"timeout"`
}

// Limits bound what one daemon takes on.
type Limits struct {
	// MaxQueuedCalls is how many calls may wait in the daemon.
	MaxQueuedCalls int `yaml:"queue"`
	// MaxBodyBytes is the largest request of a caller.
	MaxBodyBytes int64 `yaml:"body_bytes"`
	// CallTimeout is a call's deadline when its caller names none.
	CallTimeout time.Duration `yaml:"call_timeout"`
	// UnknownAfter is when a caller whose back end does not tell what became of
	// a call hears that the outcome is unknown.
	UnknownAfter time.Duration `yaml:"unknown_after"`
	// StallAfter is how long a back end may show no progress.
	StallAfter time.Duration `yaml:"stall_after"`
	// ShutdownTimeout bounds a planned stop; requests that still run then are cut.
	ShutdownTimeout time.Duration `yaml:"stop_timeout"`
}

// Intervals are the pauses of what a daemon does again and again.
type Intervals struct {
	// Configuration is the pause between readings of the log in a small fleet;
	// it grows with the fleet up to ConfigurationMaximum.
	Configuration        time.Duration `yaml:"configuration"`
	ConfigurationMaximum time.Duration `yaml:"configuration_maximum"`
	// MachineList is the pause between readings of the machine list.
	MachineList time.Duration `yaml:"machine_list"`
	// EngineLoad is the pause between readings of engines' load reports.
	EngineLoad time.Duration `yaml:"engine_load"`
}

// Memory bounds what programs take in the daemon, in bytes.
type Memory struct {
	// NewPrograms is the size from which no new program is taken on, and Calls
	// the one from which no call is, not of programs under way either.
	NewPrograms int64 `yaml:"new_programs"`
	Calls       int64 `yaml:"calls"`
	// Unpacked bounds the unpacked copies of histories, beside the above.
	Unpacked int64 `yaml:"unpacked"`
	// WarmTime is how long a history stays unpacked after its last reading.
	WarmTime time.Duration `yaml:"warm_time"`
}

// Operator is a person or program that may use the operators' interface.
type Operator struct {
	// Name stands in the history of the configuration.
	Name string `yaml:"name"`
	// KeyHash is the hex SHA-256 digest of the operator's bearer key.
	KeyHash string `yaml:"key_hash"`
}

// Default returns settings with everything that has a default.
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

// Override sets one field in place of the file.
type Override struct {
	// Field is the path of the field, Flag where the value came from.
	Field string
	Flag  string
	Apply func(*Settings)
}

// Read reads and checks a settings file. The error is ErrUnreadable or
// yamlfile.Problems.
func Read(path string) (Settings, error) { return Load(path, nil) }

// Load reads a settings file over the defaults, lays overrides over it and
// checks the result. An empty path stands for no file.
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
			continue // what cannot be read has been reported
		}
		problems = append(problems, locate(found, path, lines, flags))
	}
	if len(problems) > 0 {
		return Settings{}, yamlfile.Problems(problems)
	}
	return settings, nil
}

// locate says where the value of a failed check came from.
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
