package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	_ "github.com/mintpulley/mintpulley/internal/plugins" // the drivers that settings name
	"github.com/mintpulley/mintpulley/internal/settings"
)

const good = `peer_address: 10.0.0.1:7000
http_address: 10.0.0.1:7001
zone: zone-a
event_log:
  addresses: ["10.0.1.1:80"]
machine_list:
  addresses: ["10.0.1.2:80"]
`

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "daemon.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestReadFillsInDefaults(t *testing.T) {
	got, err := settings.Read(write(t, good))
	if err != nil {
		t.Fatal(err)
	}
	want := settings.Default()
	want.PeerAddress, want.HTTPAddress, want.Zone = "10.0.0.1:7000", "10.0.0.1:7001", "zone-a"
	want.EventLog.Addresses, want.MachineList.Addresses = []string{"10.0.1.1:80"}, []string{"10.0.1.2:80"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
}

func TestReadReportsEverythingAtOnce(t *testing.T) {
	path := write(t, `peer_address: node-1.example:7000
http_address: 0.0.0.0:7001
shards: 0
event_log:
  driver: kafka
  addresses: ["10.0.1.1:80", "10.0.1.1:80", "log:80"]
  timeout: 2
machine_list:
  adresses: ["10.0.1.2:80"]
engines: {timeout: 3h}
limits: {queue: many, body_bytes: 10}
intervals: {configuration: 1m, configuration_maximum: 1s}
memory: {new_programs: 1, calls: 0, unpacked: -1, warm_time: 2h}
operators:
  - {name: "a b", key_hash: beef}
log_level: loud
`)
	_, err := settings.Read(path)
	want := strings.ReplaceAll(`FILE:7: event_log.timeout: is "2", want a duration such as 500ms or 2h
FILE:9: machine_list.adresses: is not a known field; known are driver, addresses, timeout
FILE:11: limits.queue: is "many", want a whole number
FILE:1: peer_address: is "node-1.example:7000", want IP:PORT with the IP as a number; names are not looked up
FILE:2: http_address: is "0.0.0.0:7001", want the address by which others reach this machine
FILE: zone: is missing
FILE:3: shards: is 0, want 1 to 65536
FILE:6: event_log.addresses[1]: 10.0.1.1:80 is listed twice
FILE:6: event_log.addresses[2]: is "log:80", want IP:PORT with the IP as a number; names are not looked up
FILE:5: event_log.driver: there is no driver "kafka", known are http
FILE:8: machine_list.addresses: is missing, want at least one IP:PORT
FILE:10: engines.timeout: is 3h0m0s, want 10ms to 1h0m0s
FILE:11: limits.body_bytes: is 10, want 1024 to 1073741824
FILE:12: intervals.configuration_maximum: is 1s, want 1m0s to 1h0m0s
FILE:13: memory.new_programs: is 1, want 1048576 to 1099511627776
FILE:13: memory.calls: is 0, want 1 to 1099511627776
FILE:13: memory.unpacked: is -1, want 0 to 1099511627776
FILE:13: memory.warm_time: is 2h0m0s, want 10ms to 1h0m0s
FILE:15: operators[0].name: is "a b", want at most 128 of A-Z a-z 0-9 . _ - , the first a letter or digit
FILE:15: operators[0].key_hash: is not a SHA-256 digest in 64 lower-case hexadecimal digits
FILE:16: log_level: is "loud", want one of trace, debug, info, warn, error`, "FILE", path)
	if err == nil {
		t.Fatal("the settings were accepted")
	}
	if diff := cmp.Diff(want, err.Error()); diff != "" {
		t.Errorf("problems (-want +got):\n%s", diff)
	}
}

func TestOverridesTakePrecedenceOverFile(t *testing.T) {
	overrides := []settings.Override{
		{Field: "zone", Flag: "--zone", Apply: func(s *settings.Settings) { s.Zone = "zone-b" }},
		{Field: "shards", Flag: "--shards", Apply: func(s *settings.Settings) { s.Shards = -1 }},
	}
	_, err := settings.Load(write(t, good), overrides)
	if err == nil || err.Error() != "--shards: shards: is -1, want 1 to 65536" {
		t.Errorf("error is %v, want one that names the flag", err)
	}
	got, err := settings.Load(write(t, good), overrides[:1])
	if err != nil || got.Zone != "zone-b" {
		t.Errorf("zone is %q, error %v", got.Zone, err)
	}
}
