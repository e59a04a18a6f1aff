package drivers

import (
	"slices"
	"strconv"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/simulation/network"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// MachineList is the platform's list of machines, published with a lag.
type MachineList struct {
	Place network.Place
	// Lag is the delay with which changes are published.
	Lag time.Duration
	// Down makes every request fail.
	Down bool

	network  *network.Network
	versions []listVersion
}

type listVersion struct {
	since    time.Time
	machines []structs.Machine
}

// NewMachineList returns a list with the given initial machines.
func NewMachineList(n *network.Network, place network.Place, lag time.Duration, machines []structs.Machine) *MachineList {
	return &MachineList{Place: place, Lag: lag, network: n, versions: []listVersion{{machines: machines}}}
}

// Machines returns the current list, regardless of Lag.
func (l *MachineList) Machines() []structs.Machine {
	return slices.Clone(l.versions[len(l.versions)-1].machines)
}

// Set replaces the current list.
func (l *MachineList) Set(machines []structs.Machine) {
	l.versions = append(l.versions, listVersion{since: l.network.Clock().Now(), machines: machines})
}

// Published returns the list as it was Lag ago.
func (l *MachineList) Published() []structs.Machine {
	return slices.Clone(l.versions[l.publishedVersion()].machines)
}

// publishedVersion returns the index of the version that is published now.
func (l *MachineList) publishedVersion() int {
	visible := l.network.Clock().Now().Add(-l.Lag)
	position := len(l.versions) - 1
	for position > 0 && l.versions[position].since.After(visible) {
		position--
	}
	return position
}

// read returns the changes since a version, or the full list if the version is
// unknown.
func (l *MachineList) read(since framework.ListVersion) framework.ListResponse {
	position := l.publishedVersion()
	version := framework.ListVersion(strconv.Itoa(position))
	after := l.versions[position].machines
	known, err := strconv.Atoi(string(since))
	if err != nil || known < 0 || known >= len(l.versions) {
		return framework.FullListResponse(version, slices.Clone(after))
	}
	return framework.DeltaListResponse(since, l.versions[known].machines, version, after)
}

// Client returns a driver that calls the list from one process.
func (l *MachineList) Client(c network.Client) framework.MachineList {
	return &listClient{list: l, client: c}
}

type listClient struct {
	list   *MachineList
	client network.Client
}

// List implements framework.MachineList.
func (c *listClient) List(since framework.ListVersion, done func(framework.ListResponse, error)) {
	serve := func(reply func(framework.ListResponse, error)) {
		if c.list.Down {
			reply(framework.ListResponse{}, framework.ErrUnavailable)
			return
		}
		reply(c.list.read(since), nil)
	}
	network.Request(c.client, c.list.Place, requestTimeout, framework.ErrUnreachable, serve, done)
}
