package backends

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// errListGap is returned for a read that does not continue the list as it is known
// here.
var errListGap = eris.New("backends: machine list: the read does not continue the known version")

// machineList is the platform's list as assembled from reads. The Directory's mutex
// guards it.
type machineList struct {
	version framework.ListVersion
	rows    map[string]structs.Machine
	// readsSinceFull counts the reads since the last full list.
	readsSinceFull int
}

// nextBase returns the version on which the next read builds; empty requests the full
// list. The full list is also requested every fullEvery reads, so that a change which
// the service failed to report is not missed for good.
func (l *machineList) nextBase(fullEvery int) framework.ListVersion {
	if l.readsSinceFull >= fullEvery {
		return ""
	}
	return l.version
}

// apply merges a read and reports whether any row changed. After an error the rows are
// unchanged, and the full list is read next. An empty list is rejected, since a
// correct one has this daemon's own machine.
func (l *machineList) apply(reading framework.ListResponse) (changed bool, err error) {
	rows, changed := l.merged(reading)
	whole := reading.Since == ""
	leadsOn := whole || (reading.Since == l.version && reading.Total == len(rows))
	if len(rows) == 0 || !leadsOn {
		l.version = ""
		return false, errListGap
	}
	l.rows = rows
	l.version = reading.Version
	l.readsSinceFull++
	if whole {
		l.readsSinceFull = 0
	}
	return changed, nil
}

// merged returns the rows after a read, and whether the read contained any change.
// Without one it returns the current map.
func (l *machineList) merged(reading framework.ListResponse) (rows map[string]structs.Machine, changed bool) {
	if reading.Since != "" && len(reading.Machines)+len(reading.Removed) == 0 {
		return l.rows, false
	}
	rows = make(map[string]structs.Machine, reading.Total)
	if reading.Since != "" {
		for address, machine := range l.rows {
			rows[address] = machine
		}
	}
	for _, address := range reading.Removed {
		delete(rows, address)
	}
	for _, machine := range reading.Machines {
		rows[machine.Address] = machine
	}
	return rows, true
}

// machines returns the list ordered by address.
func (l *machineList) machines() []structs.Machine {
	list := make([]structs.Machine, 0, len(l.rows))
	for _, machine := range l.rows {
		list = append(list, machine)
	}
	slices.SortFunc(list, func(a, b structs.Machine) int { return strings.Compare(a.Address, b.Address) })
	return list
}
