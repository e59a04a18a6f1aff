package framework

import (
	"slices"
	"strings"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// ListVersion identifies one state of the platform's machine list. It is opaque:
// clients only compare it and send it back. The empty version means no state.
type ListVersion string

// ListResponse answers a read of the machine list with the whole list, or with
// the changes since an earlier version. A row is identified by the machine's
// address.
type ListResponse struct {
	// Version may be the base of the next read; a service without versions,
	// which always returns the whole list, leaves it empty.
	Version ListVersion `json:"version,omitempty"`
	// Since is the base version of the changes. It is empty for the whole list.
	Since ListVersion `json:"since,omitempty"`
	// Machines are the added and changed rows, or all rows.
	Machines []structs.Machine `json:"machines,omitempty"`
	// Removed are the addresses of removed rows.
	Removed []string `json:"removed,omitempty"`
	// Total is the number of rows of the list at Version.
	Total int `json:"total"`
}

// MachineList is the platform's eventually consistent list of live and leaving
// machines.
type MachineList interface {
	// List reads the list. A service that knows the version since may answer
	// with the changes since then, even if its own state is older. Otherwise, and
	// when since is empty, it answers with the whole list.
	List(since ListVersion, done func(ListResponse, error))
}

// FullListResponse returns a response with the whole list.
func FullListResponse(version ListVersion, machines []structs.Machine) ListResponse {
	return ListResponse{Version: version, Machines: machines, Total: len(machines)}
}

// DeltaListResponse returns a response with the changes from one state of a list
// to another, ordered by address.
func DeltaListResponse(since ListVersion, before []structs.Machine, version ListVersion, after []structs.Machine) ListResponse {
	response := ListResponse{Version: version, Since: since, Total: len(after)}
	old := make(map[string]structs.Machine, len(before))
	for _, machine := range before {
		old[machine.Address] = machine
	}
	for _, machine := range after {
		if known, found := old[machine.Address]; !found || known != machine {
			response.Machines = append(response.Machines, machine)
		}
		delete(old, machine.Address)
	}
	for address := range old {
		response.Removed = append(response.Removed, address)
	}
	slices.SortFunc(response.Machines, func(a, b structs.Machine) int { return strings.Compare(a.Address, b.Address) })
	slices.Sort(response.Removed)
	return response
}
