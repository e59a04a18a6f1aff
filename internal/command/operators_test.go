package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/command"
	"github.com/mintpulley/mintpulley/internal/daemon"
	"github.com/mintpulley/mintpulley/internal/loopback/loopbacktest"
	"github.com/mintpulley/mintpulley/internal/operator"
	"github.com/mintpulley/mintpulley/internal/settings"
	"github.com/mintpulley/mintpulley/internal/standin/eventlog"
	"github.com/mintpulley/mintpulley/internal/standin/machinelist"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const operatorKey = "test-key"

// startFleet runs three daemons in three zones with a stand-in platform and
// returns the HTTP address of one.
func startFleet(t *testing.T) string {
	t.Helper()
	logServer := httptest.NewServer(eventlog.New())
	t.Cleanup(logServer.Close)
	var machines []structs.Machine
	configs := make([]settings.Settings, 3)
	for i := range configs {
		configs[i] = settings.Default()
		configs[i].Zone = structs.ZoneName([]string{"zone-a", "zone-b", "zone-c"}[i])
		configs[i].PeerAddress, configs[i].HTTPAddress = loopbacktest.FreeAddress(t), loopbacktest.FreeAddress(t)
		machines = append(machines, structs.Machine{
			Kind: structs.MachineDaemon, Address: configs[i].PeerAddress, Zone: configs[i].Zone, Region: configs[i].Region, State: structs.MachineLive,
		})
	}
	list := httptest.NewServer(machinelist.New(machines, 0))
	t.Cleanup(list.Close)
	var daemons []*daemon.Daemon
	for _, config := range configs {
		config.EventLog.Addresses = []string{strings.TrimPrefix(logServer.URL, "http://")}
		config.MachineList.Addresses = []string{strings.TrimPrefix(list.URL, "http://")}
		config.Operators = []settings.Operator{{Name: "ops", KeyHash: operator.KeyHash(operatorKey)}}
		daemons = append(daemons, startDaemon(t, config))
	}
	for _, d := range daemons {
		await(t, func() bool {
			return d.Node.Configurations.Serving() && len(d.Node.Membership.Members()) == len(daemons)
		})
	}
	return configs[0].HTTPAddress
}

func startDaemon(t *testing.T, config settings.Settings) *daemon.Daemon {
	t.Helper()
	d, err := daemon.Start(config, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = d.Stop(ctx)
	})
	return d
}

// await waits until a condition holds.
func await(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !holds(); {
		if time.Now().After(deadline) {
			t.Fatal("the fleet is not ready in time")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// run runs a command and returns what it printed and its exit code.
func run(arguments ...string) (string, int) {
	var out bytes.Buffer
	root := command.New()
	root.Writer, root.ErrWriter = &out, &bytes.Buffer{}
	err := root.Run(context.Background(), append([]string{"mintpulley"}, arguments...))
	if err != nil {
		out.WriteString(err.Error())
	}
	return out.String(), command.ExitCode(err)
}

// step is a command with its expected exit code and output.
type step struct {
	arguments string
	code      int
	contains  string
}

func (s step) run(t *testing.T) {
	t.Helper()
	out, code := run(strings.Fields(s.arguments)...)
	if code != s.code || !strings.Contains(out, s.contains) {
		t.Errorf("%s: exit code %d, want %d; want %q in:\n%s", s.arguments, code, s.code, s.contains, out)
	}
}

func TestOperatorCommands(t *testing.T) {
	t.Setenv("MINTPULLEY_DAEMON", startFleet(t))
	t.Setenv("MINTPULLEY_OPERATOR_KEY", operatorKey)
	broken := filepath.Join(t.TempDir(), "broken.yaml")
	text := "tenants:\n  northern-post:\n    key_hashes: []\n    share: 1\n    templates:\n      electorate-summary:\n        parameters: {newsroom: X}\n"
	if err := os.WriteFile(broken, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	policy := filepath.Join(t.TempDir(), "policy.yaml")
	if err := os.WriteFile(policy, []byte("fleet:\n  queue_policy: guess\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	tally, chlebnet := "../../examples/tally", "../../examples/chlebnet"
	for _, s := range []step{
		{"config show", 0, "revision 0"},
		{"config diff " + tally, 0, "+ tenants.northern-post"},
		{"config publish --dry-run " + tally, 0, "Would be accepted as revision 1"},
		{"config publish --operation one --comment start " + tally, 0, "In force as revision 1"},
		{"config publish --operation one " + tally, 0, "In force as revision 1"},
		{"config publish " + tally, 0, "Nothing to change"},
		{"config publish --base 0 --operation late " + chlebnet, 1, "builds on revision 0, in force is revision 1, made by ops with operation one"},
		{"config publish " + chlebnet, 0, "In force as revision 2"},
		{"config publish " + broken, 1, broken + ":3: tenants.northern-post.key_hashes: is empty"},
		{"config publish " + broken, 1, broken + `:7: tenants.northern-post.templates.electorate-summary.parameters: "language" is missing`},
		{"config check " + broken, 1, `"language" is missing`},
		{"config check " + policy, 1, policy + `:2: fleet.queue_policy: there is no queue policy "guess"`},
		{"config publish " + policy, 1, policy + `:2: fleet.queue_policy: there is no queue policy "guess"`},
		{"config publish --dry-run " + policy, 1, policy + `:2: fleet.queue_policy: there is no queue policy "guess"`},
		{"config publish --remove models/newsroom-8b", 1, `there is no model "newsroom-8b"`},
		{"config publish --remove tenants/plains-herald", 0, "- tenants.plains-herald"},
		{"config diff --prune " + tally, 0, "- tenants.zs-kremnica"},
		{"config history late", 0, "was not applied: the change builds on revision 0"},
		{"config history", 0, "stale_base"},
		{"config show tenants/zs-kremnica", 0, "školská jedáleň"},
		{"config show tenants/nobody", 1, "not in force"},
		{"programs list", 0, "0 of 0 programs"},
		{"programs show northern-post:none", 2, "has no program"},
		{"programs explain", 2, "want TENANT:PROGRAM"},
		{"config publish", 2, "name files or directories"},
		{"config show --format xml", 2, "want table or json"},
		{"config show --daemon 127.0.0.1:1", 2, "no daemon answered"},
		{"config show --key wrong", 2, "not that of an operator"},
	} {
		s.run(t)
	}
	await(t, func() bool {
		out, code := run("fleet", "status")
		return code == 0 && strings.Contains(out, "revision 3, 0 of 3 daemons silent or behind")
	})
}

func TestConfigCheckWithoutDaemon(t *testing.T) {
	path := filepath.Join(t.TempDir(), "alone.yaml")
	text := "tenants:\n  shop:\n    key_hashes: []\n    sahre: 1\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	step{"config check " + path, 1, path + ":4: tenants.shop.sahre: is not a known field"}.run(t)
	// An unknown field does not keep the rest from being checked.
	step{"config check " + path, 1, path + ":2: tenants.shop.share: is 0"}.run(t)
	step{"config check ../../examples/chlebnet", 0, "good"}.run(t)
	step{"config check ../../examples/absent", 1, "no such file"}.run(t)
}

func TestOperatorCommandsPrintJSON(t *testing.T) {
	t.Setenv("MINTPULLEY_DAEMON", startFleet(t))
	t.Setenv("MINTPULLEY_OPERATOR_KEY", operatorKey)
	if out, code := run("config", "publish", "--format", "json", "../../examples/tally"); code != 0 {
		t.Fatalf("exit code %d:\n%s", code, out)
	}
	out, _ := run("config", "show", "--format", "json")
	var inForce operator.ConfigurationInForce
	if err := json.Unmarshal([]byte(out), &inForce); err != nil {
		t.Fatalf("%v in:\n%s", err, out)
	}
	if inForce.Status.Revision != 1 || inForce.Configuration.Tenants[structs.TenantName("harbour-times")].Share != 3 {
		t.Errorf("in force is %+v", inForce)
	}
}
