//go:build integration

package integration

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/outputtest"
)

// programs holds the paths of the programs that TestMain builds.
var programs struct{ daemon, standin string }

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "mintpulley-integration")
	if err != nil {
		panic(err)
	}
	programs.daemon = filepath.Join(directory, "mintpulley")
	programs.standin = filepath.Join(directory, "mintpulley-standin")
	for path, target := range map[string]string{programs.daemon: "../../cmd/mintpulley", programs.standin: "../../cmd/mintpulley-standin"} {
		build := exec.Command("go", "build", "-o", path, target)
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			panic(err)
		}
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// process is a running program with its output.
type process struct {
	t       *testing.T
	name    string
	command *exec.Cmd
	output  outputtest.Buffer
	ended   chan struct{}
}

// startProcess runs a program until the test ends.
func startProcess(t *testing.T, name, path string, arguments ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, command: exec.Command(path, arguments...), ended: make(chan struct{})}
	p.command.Stdout = &p.output
	p.command.Stderr = &p.output
	if err := p.command.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.ended
		if t.Failed() {
			t.Logf("output of %s:\n%s", name, tail(p.output.String()))
		}
	})
	return p
}

// maxTailBytes bounds how much of a process's output a failed test prints.
const maxTailBytes = 6000

func tail(text string) string { return text[max(0, len(text)-maxTailBytes):] }

func (p *process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// eventually waits for a condition, which the message of a failure calls what.
func eventually(t *testing.T, within time.Duration, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(within)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", within, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// sendJSON sends a JSON body to a stand-in's control interface.
func sendJSON(t *testing.T, method, url, body string) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatalf("%s %s: %v", method, url, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		t.Fatalf("%s %s: %s", method, url, response.Status)
	}
}

func acceptsConnections(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// route returns the proxy's flag for a route.
func route(name, listen, target string) string {
	return fmt.Sprintf("--route=%s=%s,%s", name, listen, target)
}
