package drivers

import (
	"slices"
	"strconv"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/simulation/network"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// MachineList is the platform's list of machines. What it publishes lags.
type MachineList struct {
	Place network.Place
	// Lag is how late the list is.
	Lag time.Duration
	// Down makes every request fail.
	Down bool

	network  *network.Network
	versions []listVersion
}

type listVersion struct {
	from     time.Time
	machines []structs.Machine
}

// NewMachineList returns a list that publishes machines from the start on.
func NewMachineList(n *network.Network, place network.Place, lag time.Duration, machines []structs.Machine) *MachineList {
	return &MachineList{Place: place, Lag: lag, network: n, versions: []listVersion{{machines: machines}}}
}

// Machines returns the true list.
func (l *MachineList) Machines() []structs.Machine {
	return slices.Clone(l.versions[len(l.versions)-1].machines)
}

// Set replaces the true list.
func (l *MachineList) Set(machines []structs.Machine) {
	l.versions = append(l.versions, listVersion{from: l.network.Clock().Now(), machines: machines})
}

// Published returns the list as of Lag ago.
func (l *MachineList) Published() []structs.Machine {
	return slices.Clone(l.versions[l.publishedVersion()].machines)
}

// publishedVersion is the position of the version of Lag ago.
func (l *MachineList) publishedVersion() int {
	visible := l.network.Clock().Now().Add(-l.Lag)
	position := len(l.versions) - 1
	for position > 0 && l.versions[position].from.After(visible) {
		position--
	}
	return position
}

// read answers a reading with the changes since a version, or the whole list
// when the version is not one of this list's.
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

// Client returns the list as one process sees it.
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
