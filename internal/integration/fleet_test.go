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
	// startTimeout bounds the start of a fleet.
	startTimeout = 30 * time.Second
)

// member is one daemon with its addresses.
type member struct {
	name     string
	process  *process
	settings string
	// http and peer lead through the proxy; listenHTTP is the daemon's own.
	http, peer, listenHTTP string
}

// fleet is three daemons and their stand-ins, connected through the proxy.
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

// configuration is published to every fleet. The template adds no prompt, so that
// a test can get the same answer directly from an engine.
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

// newFleet starts stand-ins and daemons, publishes the configuration and waits
// until all daemons serve.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, directory: t.TempDir()}
	f.startStandIns()
	f.startDaemons()
	f.publish("initial", strings.Replace(configuration, "ac8ff2e6b5ab5a4a9bd0f8ec87ab3ef7a9be5df8b7b1c0ac0bb6c40e6fd6f5f0", hashOf(tenantKey), 1))
	eventually(t, startTimeout, "all daemons ready", func() bool {
		for _, m := range f.members {
			if !ready(m.listenHTTP) {
				return false
			}
		}
		return true
	})
	f.waitUntilServing()
	return f
}

// startStandIns starts the platform and the back ends behind one proxy.
func (f *fleet) startStandIns() {
	f.proxy = loopbacktest.FreeAddress(f.t)
	arguments := []string{"proxy", "--listen", f.proxy}
	throughProxy := func(name, target string) string {
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
		startProcess(f.t, fmt.Sprintf("engine-%d", i), programs.standin, "engine", "--listen", address, "--model", modelName, "--profile", "fast")
		machines = append(machines, structs.Machine{Kind: structs.MachineEngine, Address: throughProxy(fmt.Sprintf("engine-%d", i), address), Zone: zoneOf(i), State: structs.MachineLive})
	}
	startProcess(f.t, "log", programs.standin, "log", "--listen", logAddress)
	startProcess(f.t, "application", programs.standin, "application", "--listen", appAddress)
	machines = append(machines, structs.Machine{Kind: structs.MachineApplication, Name: "wholesale", Address: throughProxy("application", appAddress), Zone: zoneOf(0), State: structs.MachineLive})
	proxiedLog := throughProxy("log", logAddress)
	for i := range 3 {
		m := &member{name: string(rune('a' + i)), listenHTTP: loopbacktest.FreeAddress(f.t)}
		listenPeer := loopbacktest.FreeAddress(f.t)
		m.http, m.peer = throughProxy("http-"+m.name, m.listenHTTP), throughProxy("peer-"+m.name, listenPeer)
		m.settings = f.writeSettings(m, zoneOf(i), listenPeer, proxiedLog)
		machines = append(machines, structs.Machine{Kind: structs.MachineDaemon, Address: m.peer, Zone: zoneOf(i), State: structs.MachineLive})
		f.members = append(f.members, m)
	}
	f.startMachineList(machines)
	startProcess(f.t, "proxy", programs.standin, arguments...)
	eventually(f.t, startTimeout, "the stand-ins listen", func() bool {
		return acceptsConnections(f.proxy) && acceptsConnections(logAddress) && acceptsConnections(appAddress) && acceptsConnections(f.engines[0]) && acceptsConnections(f.engines[1]) && acceptsConnections(f.machines)
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
	startProcess(f.t, "machines", programs.standin, "machines", "--listen", f.machines, "--file", file, "--lag", "1s")
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
	m.process = startProcess(f.t, "daemon-"+m.name, programs.daemon, "daemon", "--settings", m.settings)
}

// publish publishes a configuration with the command config publish.
func (f *fleet) publish(name, text string) {
	f.t.Helper()
	path := filepath.Join(f.directory, name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	var output []byte
	eventually(f.t, startTimeout, "publication of "+name, func() bool {
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

// waitUntilServing waits until every daemon has answered a call.
func (f *fleet) waitUntilServing() {
	for _, m := range f.members {
		eventually(f.t, startTimeout, "daemon "+m.name+" answers", func() bool {
			return f.newCaller("warm-"+m.name).placeOrder(m, "warm", true) == nil
		})
	}
}

// setFaults sets the faults of one route of the proxy.
func (f *fleet) setFaults(route, body string) {
	f.t.Helper()
	sendJSON(f.t, http.MethodPut, "http://"+f.proxy+"/routes/"+route+"/faults", body)
}

// runs returns how often the application ran each attempt.
func (f *fleet) runs() map[structs.AttemptID]int {
	f.t.Helper()
	runs := map[structs.AttemptID]int{}
	f.getJSON("http://"+f.application+"/runs", &runs)
	return runs
}
