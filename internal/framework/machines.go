package framework

import (
	"slices"
	"strings"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// ListVersion names one state of the platform's machine list. It is opaque:
// readers compare it and hand it back. The empty version names no state.
type ListVersion string

// ListResponse answers a reading of the machine list: the whole list, or what
// leads from an earlier reading to it. A machine's address names its row.
type ListResponse struct {
	// Version is what the next reading may build on; a list that only gives
	// whole readings leaves it empty.
	Version ListVersion `json:"version,omitempty"`
	// Since is the version that the changes lead from. It is empty for the
	// whole list.
	Since ListVersion `json:"since,omitempty"`
	// Machines are the rows that are new or differ, or all rows.
	Machines []structs.Machine `json:"machines,omitempty"`
	// Removed are the addresses of rows that are there no more.
	Removed []string `json:"removed,omitempty"`
	// Total counts the rows of the list as of Version.
	Total int `json:"total"`
}

// MachineList is the platform's lagging list of live and leaving machines.
type MachineList interface {
	// List reads the list. A service that knows the version since may answer
	// with changes from there, also when it shows an older list than before;
	// otherwise, and when since is empty, the answer is the whole list.
	List(since ListVersion, done func(ListResponse, error))
}

// FullListResponse returns a reading of a whole list.
func FullListResponse(version ListVersion, machines []structs.Machine) ListResponse {
	return ListResponse{Version: version, Machines: machines, Total: len(machines)}
}

// DeltaListResponse returns the reading that leads from one state of a list to
// another, ordered by address.
func DeltaListResponse(since ListVersion, before []structs.Machine, version ListVersion, after []structs.Machine) ListResponse {
	reading := ListResponse{Version: version, Since: since, Total: len(after)}
	old := make(map[string]structs.Machine, len(before))
	for _, machine := range before {
		old[machine.Address] = machine
	}
	for _, machine := range after {
		if known, found := old[machine.Address]; !found || known != machine {
			reading.Machines = append(reading.Machines, machine)
		}
		delete(old, machine.Address)
	}
	for address := range old {
		reading.Removed = append(reading.Removed, address)
	}
	slices.SortFunc(reading.Machines, func(a, b structs.Machine) int { return strings.Compare(a.Address, b.Address) })
	slices.Sort(reading.Removed)
	return reading
}
