//go:build integration

package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/loopback/loopbacktest"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	tenantKey   = "integration-key"
	operatorKey = "integration-operator"
	modelName   = "small"
	// startTime bounds the start of a fleet.
	startTime = 30 * time.Second
)

// member is one daemon with the addresses at which the proxy stands for it.
type member struct {
	name     string
	process  *process
	settings string
	// http and peer are the proxy's; listenHTTP is the daemon's own.
	http, peer, listenHTTP string
}

// fleet is three daemons and their stand-ins, with a proxy on every way.
type fleet struct {
	t           *testing.T
	directory   string
	proxy       string
	log         string
	machines    string
	engines     []string
	application string
	members     []*member
}

// configuration is published to every fleet. The template has no prompt of its
// own, so that a test can ask an engine for the same answer.
const configuration = `
models:
  small: {prompt_cost: 1, completion_cost: 1, context_tokens: 32768}
templates:
  orders:
    models: [small]
    targets: [wholesale]
    budget: 10000000
    priority: 5
    application_cost: 1
    limits: {answer_tokens: 400}
tenants:
  bakery:
    key_hashes: ["ac8ff2e6b5ab5a4a9bd0f8ec87ab3ef7a9be5df8b7b1c0ac0bb6c40e6fd6f5f0"]
    share: 1
    templates:
      orders: {}
`

// newFleet starts everything and publishes the configuration.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, directory: t.TempDir()}
	f.startStandins()
	f.startDaemons()
	f.publish("initial", strings.Replace(configuration, "ac8ff2e6b5ab5a4a9bd0f8ec87ab3ef7a9be5df8b7b1c0ac0bb6c40e6fd6f5f0", hashOf(tenantKey), 1))
	eventually(t, startTime, "all daemons ready", func() bool {
		for _, m := range f.members {
			if !ready(m.listenHTTP) {
				return false
			}
		}
		return true
	})
	f.warm()
	return f
}

// startStandins starts the platform and the back ends behind one proxy.
func (f *fleet) startStandins() {
	f.proxy = loopbacktest.FreeAddress(f.t)
	arguments := []string{"proxy", "--listen", f.proxy}
	behind := func(name, target string) string {
		listen := loopbacktest.FreeAddress(f.t)
		arguments = append(arguments, route(name, listen, target))
		return listen
	}
	logAddress, appAddress := loopbacktest.FreeAddress(f.t), loopbacktest.FreeAddress(f.t)
	f.log, f.application = logAddress, appAddress
	var machines []structs.Machine
	for i := range 2 {
		address := loopbacktest.FreeAddress(f.t)
		f.engines = append(f.engines, address)
		start(f.t, fmt.Sprintf("engine-%d", i), programs.standin, "engine", "--listen", address, "--model", modelName, "--profile", "fast")
		machines = append(machines, structs.Machine{Kind: structs.MachineEngine, Address: behind(fmt.Sprintf("engine-%d", i), address), Zone: zoneOf(i), State: structs.MachineLive})
	}
	start(f.t, "log", programs.standin, "log", "--listen", logAddress)
	start(f.t, "application", programs.standin, "application", "--listen", appAddress)
	machines = append(machines, structs.Machine{Kind: structs.MachineApplication, Name: "wholesale", Address: behind("application", appAddress), Zone: zoneOf(0), State: structs.MachineLive})
	proxiedLog := behind("log", logAddress)
	for i := range 3 {
		m := &member{name: string(rune('a' + i)), listenHTTP: loopbacktest.FreeAddress(f.t)}
		listenPeer := loopbacktest.FreeAddress(f.t)
		m.http, m.peer = behind("http-"+m.name, m.listenHTTP), behind("peer-"+m.name, listenPeer)
		m.settings = f.writeSettings(m, zoneOf(i), listenPeer, proxiedLog)
		machines = append(machines, structs.Machine{Kind: structs.MachineDaemon, Address: m.peer, Zone: zoneOf(i), State: structs.MachineLive})
		f.members = append(f.members, m)
	}
	f.startMachineList(machines)
	start(f.t, "proxy", programs.standin, arguments...)
	eventually(f.t, startTime, "the stand-ins listen", func() bool {
		return listens(f.proxy) && listens(logAddress) && listens(appAddress) && listens(f.engines[0]) && listens(f.engines[1]) && listens(f.machines)
	})
}

func (f *fleet) startMachineList(machines []structs.Machine) {
	data, err := json.Marshal(machines)
	if err != nil {
		f.t.Fatal(err)
	}
	file := filepath.Join(f.directory, "machines.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	start(f.t, "machines", programs.standin, "machines", "--listen", f.machines, "--file", file, "--lag", "1s")
}

func zoneOf(i int) structs.ZoneName { return structs.ZoneName(fmt.Sprintf("zone-%c", 'a'+i)) }

func (f *fleet) writeSettings(m *member, zone structs.ZoneName, listenPeer, logAddress string) string {
	if f.machines == "" {
		f.machines = loopbacktest.FreeAddress(f.t)
	}
	text := fmt.Sprintf("peer_address: %s\npeer_listen: %s\nhttp_address: %s\nzone: %s\nregion: local\nshards: 16\n"+
		"event_log: {addresses: [%q]}\nmachine_list: {addresses: [%q]}\nlog_level: debug\n"+
		"operators: [{name: tester, key_hash: %s}]\n",
		m.peer, listenPeer, m.listenHTTP, zone, logAddress, f.machines, hashOf(operatorKey))
	path := filepath.Join(f.directory, m.name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

func (f *fleet) startDaemons() {
	for _, m := range f.members {
		f.startDaemon(m)
	}
}

func (f *fleet) startDaemon(m *member) {
	m.process = start(f.t, "daemon-"+m.name, programs.daemon, "daemon", "--settings", m.settings)
}

// publish publishes a configuration by the operators' command.
func (f *fleet) publish(name, text string) {
	f.t.Helper()
	path := filepath.Join(f.directory, name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	var output []byte
	eventually(f.t, startTime, "publication of "+name, func() bool {
		arguments := []string{"config", "publish", "--operation", name}
		for _, m := range f.members {
			arguments = append(arguments, "--daemon", m.listenHTTP)
		}
		command := exec.Command(programs.daemon, append(arguments, path)...)
		command.Env = append(os.Environ(), "MINTPULLEY_OPERATOR_KEY="+operatorKey)
		var err error
		output, err = command.CombinedOutput()
		return err == nil
	})
	f.t.Logf("published %s: %s", name, strings.TrimSpace(string(output)))
}

func ready(address string) bool {
	response, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// warm waits until every daemon answers calls.
func (f *fleet) warm() {
	for _, m := range f.members {
		eventually(f.t, startTime, "daemon "+m.name+" answers", func() bool {
			return f.program("warm-"+m.name).order(m, "warm", true) == nil
		})
	}
}

// faults sets the faults of one route of the proxy.
func (f *fleet) faults(route, body string) {
	f.t.Helper()
	put(f.t, http.MethodPut, "http://"+f.proxy+"/routes/"+route+"/faults", body)
}

// runs returns how often each attempt ran at the application.
func (f *fleet) runs() map[structs.AttemptID]int {
	f.t.Helper()
	runs := map[structs.AttemptID]int{}
	f.read("http://"+f.application+"/runs", &runs)
	return runs
}
