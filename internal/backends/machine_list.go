package backends

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// errListGap is returned for a reading that does not lead on from the list as
// it is known here.
var errListGap = eris.New("backends: reading of the machine list leaves a gap")

// machineView is the platform's list as this daemon has put it together from
// readings. The Directory's mutex guards it.
type machineList struct {
	version framework.ListVersion
	rows    map[string]structs.Machine
	// readings counts those since the last whole list.
	readsSinceFull int
}

// next returns the version that the next reading is to build on; empty asks
// for the whole list. It does so now and then although nothing seems wrong, so
// that a change that the service failed to tell of is not missed for ever.
func (v *machineList) nextBase(wholeEvery int) framework.ListVersion {
	if v.readsSinceFull >= wholeEvery {
		return ""
	}
	return v.version
}

// take joins a reading and returns whether any row changed. After an error the
// rows stand as they were, and the whole list is to be read next. An empty
// list is not believed: this daemon's own machine would be on a true one.
func (v *machineList) apply(reading framework.ListReading) (changed bool, err error) {
	rows, changed := v.merged(reading)
	whole := reading.Since == ""
	leadsOn := whole || (reading.Since == v.version && reading.Total == len(rows))
	if len(rows) == 0 || !leadsOn {
		v.version = ""
		return false, errListGap
	}
	v.rows = rows
	v.version = reading.Version
	v.readsSinceFull++
	if whole {
		v.readsSinceFull = 0
	}
	return changed, nil
}

// joined returns the rows after a reading. Rows that stay are not copied.
func (v *machineList) merged(reading framework.ListReading) (rows map[string]structs.Machine, changed bool) {
	if reading.Since != "" && len(reading.Machines)+len(reading.Removed) == 0 {
		return v.rows, false
	}
	rows = make(map[string]structs.Machine, reading.Total)
	if reading.Since != "" {
		for address, machine := range v.rows {
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
func (v *machineList) machines() []structs.Machine {
	list := make([]structs.Machine, 0, len(v.rows))
	for _, machine := range v.rows {
		list = append(list, machine)
	}
	slices.SortFunc(list, func(a, b structs.Machine) int { return strings.Compare(a.Address, b.Address) })
	return list
}
