package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	host = "ficu95.example"
	// readyTime bounds the start of the daemons.
	readyTime = 20 * time.Second
)

// bed is a small deployment: a store, engines and daemons on loopback addresses.
type bed struct {
	recorder *recorder
	relay    string
	folder   string
	store    *storeServer
	journal  *runJournal
	engines  []*engine
	daemons  []*daemon
	zones    []string
	// partitions is the store's number of partitions, as the settings tell it.
	partitions int
	// extra are further lines of the settings.
	extra string
}

// daemon is a process of the project.
type daemon struct {
	name, zone                  string
	front, ready, peer, metrics string
	settings, log               string
	command                     *exec.Cmd
	ended                       chan struct{}
}

func newBed(r *recorder, relay string, zones []string) (*bed, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	b := &bed{recorder: r, relay: relay, folder: folder, zones: zones, partitions: 8, journal: newRunJournal(r)}
	b.store, err = startStore(r)
	return b, err
}

// close ends all processes that the case started.
func (b *bed) close() {
	for _, d := range b.daemons {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		if d.ended != nil {
			<-d.ended
		}
	}
	for _, e := range b.engines {
		e.close()
	}
	if b.store != nil {
		_ = b.store.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.folder)
	} else {
		fmt.Println("logs in", b.folder)
	}
}

func (b *bed) addEngines(kind engineKind, count int) error {
	for i := range count {
		id := fmt.Sprintf("i-%s-%d", kind.service, i+1)
		started, err := startEngine(kind, id, b.zones[i%len(b.zones)], b.journal, b.store.log)
		if err != nil {
			return err
		}
		b.engines = append(b.engines, started)
	}
	return nil
}

// configure writes the operator's configuration.
func (b *bed) configure(configuration string) {
	b.store.log.Put("keyed.op", "config", configuration)
	b.recorder.note("operator: configuration %s", configuration)
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// startDaemons starts one daemon for each zone, with settings like those of the deploy file's
// template.
func (b *bed) startDaemons() error {
	regions := map[string]string{}
	var seeds []string
	for i, zone := range b.zones {
		regions[zone] = "r"
		d := &daemon{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone}
		for _, address := range []*string{&d.front, &d.ready, &d.peer, &d.metrics} {
			free, err := freeAddress()
			if err != nil {
				return err
			}
			*address = free
		}
		d.settings = filepath.Join(b.folder, d.name+".yaml")
		d.log = filepath.Join(b.folder, d.name+".log")
		b.daemons = append(b.daemons, d)
		if len(seeds) < 3 {
			seeds = append(seeds, d.peer)
		}
	}
	zones, err := json.Marshal(regions)
	if err != nil {
		return err
	}
	for _, d := range b.daemons {
		text := fmt.Sprintf(`adapter: platform
name: "%s"
zone: "%s"
region: "r"
front_address: "%s"
ready_address: "%s"
peer_address: "%s"
metrics_address: "%s"
seeds: "%s"
store_address: "%s"
ledger_spaces: 2
ledger_partitions: %d
memory_megabytes: 254
processor_share: 0.8
processor_speed: 1
link_megabits: 1000
stop_seconds: 8
zones: %s
heartbeat_milliseconds: 1200
store_megabytes: 400
store_read_megabytes: 80
%s`, d.name, d.zone, d.front, d.ready, d.peer, d.metrics, strings.Join(seeds, ","), b.store.address, b.partitions, zones, b.extra)
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := d.start(b.relay); err != nil {
			return err
		}
	}
	return b.awaitReady()
}

func (d *daemon) start(program string) error {
	output, err := os.Create(d.log)
	if err != nil {
		return err
	}
	d.command = exec.Command(program, "--settings", d.settings)
	d.command.Stdout, d.command.Stderr = output, output
	if err := d.command.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go func() {
		_ = d.command.Wait()
		_ = output.Close()
		close(d.ended)
	}()
	return nil
}

func (d *daemon) signal(signal syscall.Signal) {
	if d.command != nil && d.command.Process != nil {
		_ = d.command.Process.Signal(signal)
	}
}

// isReady asks a daemon as the platform does.
func (d *daemon) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (b *bed) awaitReady() error {
	deadline := time.Now().Add(readyTime)
	for _, d := range b.daemons {
		for !d.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	b.recorder.note("all %d daemons are ready", len(b.daemons))
	return nil
}
