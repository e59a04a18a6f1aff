// Command harness2 starts small fleets of the relay as separate processes, with stand-ins for the
// platform's store, the servers and the clients, and plays one case of the review.
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/platform/standin"
)

const (
	relayProgram = "target/mintpulley-relay"
	routeHost    = "fleet.example"
	zoneName     = "zone-a"
	regionName   = "region-a"
	// readyTime bounds the start of a fleet.
	readyTime = 20 * time.Second
	// pageItems is the most keys of a page of the store (protocol, "The platform's metadata store").
	pageItems = 500
)

// Reasons why a case could not run.
var (
	errNotReady = errors.New("a daemon did not become ready")
	errNoPort   = errors.New("no port was found free")
)

// fleet is a number of daemons with their store.
type fleet struct {
	record    *record
	directory string
	store     *standin.Log
	storeAt   string
	daemons   []*daemon
	closers   []func()
}

// daemon is one relay process.
type daemon struct {
	name                        string
	front, ready, peer, metrics string
	settings, log               string
	command                     *exec.Cmd
	ended                       chan struct{}
}

// drawnPorts are the ports that freeAddress has returned.
var drawnPorts = map[int]bool{}

// freeAddress returns a loopback address whose port is free now. The ports lie below those that the
// system gives to outgoing connections, which could take one before its daemon listens.
func freeAddress() (string, error) {
	const firstPort, ports, tries = 15000, 15000, 100
	for range tries {
		port := firstPort + rand.IntN(ports)
		if drawnPorts[port] {
			continue
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue // it is taken
		}
		drawnPorts[port] = true
		return address, listener.Close()
	}
	return "", errNoPort
}

// serve serves a handler at a free loopback address until the fleet is closed.
func (f *fleet) serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // ends when the server is closed
	f.closers = append(f.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// newFleet starts the store and prepares a number of daemons. configuration is the operators'.
func newFleet(r *record, count int, configuration string) (*fleet, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, directory: directory, store: standin.NewLog()}
	f.store.SetPageItems(pageItems)
	if f.storeAt, err = f.serve(f.store); err != nil {
		return nil, err
	}
	f.store.Put("keyed.op", "config", configuration)
	for number := range count {
		d := &daemon{name: fmt.Sprintf("front-%d", number+1)}
		for _, address := range []*string{&d.front, &d.ready, &d.peer, &d.metrics} {
			if *address, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		d.settings = filepath.Join(directory, d.name+".yaml")
		d.log = filepath.Join(directory, d.name+".log")
		f.daemons = append(f.daemons, d)
	}
	return f, f.writeSettings()
}

// writeSettings writes the settings of all daemons as deploy/settings.yaml.template has them.
func (f *fleet) writeSettings() error {
	var seeds []string
	for _, d := range f.daemons {
		seeds = append(seeds, d.peer)
	}
	for _, d := range f.daemons {
		text := fmt.Sprintf(`adapter: platform
name: %q
zone: %q
region: %q
front_address: %q
ready_address: %q
peer_address: %q
metrics_address: %q
seeds: %q
store_address: %q
ledger_spaces: 2
ledger_partitions: 8
memory_megabytes: 254
processor_share: 0.8
processor_speed: 1
link_megabits: 1000
stop_seconds: 8
zones: {%q: %q}
heartbeat_milliseconds: 1200
store_megabytes: 400
store_read_megabytes: 80
store_record_bytes: 262144
store_call_bytes: 2097152
`, d.name, zoneName, regionName, d.front, d.ready, d.peer, d.metrics, strings.Join(seeds, ","), f.storeAt, zoneName, regionName)
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// start starts a daemon's process.
func (f *fleet) start(d *daemon) error {
	output, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.command = exec.Command(relayProgram, "--settings", d.settings)
	d.command.Stdout, d.command.Stderr = output, output
	if err := d.command.Start(); err != nil {
		_ = output.Close() // nothing was written
		return err
	}
	d.ended = make(chan struct{})
	command, ended := d.command, d.ended
	go func() {
		_ = command.Wait() // the record tells how it ended
		_ = output.Close()
		close(ended)
	}()
	f.record.write("%s starts, process %d", d.name, command.Process.Pid)
	return nil
}

// startAll starts all daemons and waits until they are ready.
func (f *fleet) startAll() error {
	for _, d := range f.daemons {
		if err := f.start(d); err != nil {
			return err
		}
	}
	return f.awaitReady(f.daemons...)
}

// awaitReady waits until daemons call themselves ready.
func (f *fleet) awaitReady(daemons ...*daemon) error {
	deadline := time.Now().Add(readyTime)
	for _, d := range daemons {
		for !d.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s", errNotReady, d.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + d.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // it is not read
	return response.StatusCode == http.StatusOK
}

// close ends all processes and removes the settings and logs, unless KEEP_LOGS is set.
func (f *fleet) close() {
	var ending sync.WaitGroup
	for _, d := range f.daemons {
		if d.command == nil || d.command.Process == nil {
			continue
		}
		ending.Go(func() {
			_ = d.command.Process.Kill() // fails if it has ended
			<-d.ended
		})
	}
	ending.Wait()
	for _, c := range f.closers {
		c()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.directory) // it is in the folder for temporary files
	} else {
		fmt.Println("logs:", f.directory)
	}
}

// writeServer writes a server's entry once, and again each heartbeat until ctx ends.
func (f *fleet) writeServer(ctx context.Context, id, service, address string, slots int) {
	go func() {
		for sequence := 1; ctx.Err() == nil; sequence++ {
			f.store.Put("keyed.servers", id, fmt.Sprintf(
				`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","coldRemainingMs":0,"callSeq":%d}`,
				service, address, zoneName, slots, sequence))
			select {
			case <-ctx.Done():
			case <-time.After(1200 * time.Millisecond):
			}
		}
	}()
}
