package replication

import (
	"slices"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// entryLog is a replica's log in memory: the entries after base. Entries up to
// base are in the state machine only.
type entryLog struct {
	base      structs.Index
	baseEpoch structs.Epoch
	baseGroup Group
	entries   []Entry
	bytes     int
	// group is the latest group in the log, and groupIndex the index of its
	// entry.
	group      Group
	groupIndex structs.Index
}

// newEntryLog returns an empty log that starts after base.
func newEntryLog(base structs.Index, epoch structs.Epoch, group Group) *entryLog {
	return &entryLog{base: base, baseEpoch: epoch, baseGroup: group, group: group, groupIndex: base}
}

// last returns the last index.
func (l *entryLog) last() structs.Index { return l.base + structs.Index(len(l.entries)) }

// lastEpoch returns the epoch of the last entry.
func (l *entryLog) lastEpoch() structs.Epoch {
	epoch, _ := l.epochAt(l.last())
	return epoch
}

// epochAt returns the epoch of an entry; false when it is not in memory.
func (l *entryLog) epochAt(index structs.Index) (structs.Epoch, bool) {
	if index == l.base {
		return l.baseEpoch, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Epoch, true
}

// at returns an entry that is in memory.
func (l *entryLog) at(index structs.Index) Entry { return l.entries[index-l.base-1] }

// from returns entries from index on, limited to about limit bytes but at least
// one if there is any.
func (l *entryLog) from(index structs.Index, limit int) []Entry {
	first := int(index - l.base - 1)
	end, size := first, 0
	for end < len(l.entries) {
		size += l.entries[end].size()
		if size > limit && end > first {
			break
		}
		end++
	}
	return slices.Clone(l.entries[first:end])
}

// append adds an entry after the last.
func (l *entryLog) append(entry Entry) {
	l.entries = append(l.entries, entry)
	l.bytes += entry.size()
	if entry.Group != nil {
		l.group, l.groupIndex = entry.Group, entry.Index
	}
}

// truncate drops the entry at index and all after it.
func (l *entryLog) truncate(index structs.Index) {
	keep := int(index - l.base - 1)
	for i := keep; i < len(l.entries); i++ {
		l.bytes -= l.entries[i].size()
	}
	l.entries = slices.Clone(l.entries[:keep])
	l.findGroup()
}

func (l *entryLog) findGroup() {
	l.group, l.groupIndex = l.baseGroup, l.base
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Group != nil {
			l.group, l.groupIndex = l.entries[i].Group, l.entries[i].Index
			return
		}
	}
}

// groupAt returns the group that applies at an index in memory.
func (l *entryLog) groupAt(index structs.Index) Group {
	group := l.baseGroup
	for i := 0; i < len(l.entries) && l.entries[i].Index <= index; i++ {
		if l.entries[i].Group != nil {
			group = l.entries[i].Group
		}
	}
	return group
}

// compact drops the oldest entries up to applied once the log exceeds twice
// limit bytes, until it no longer exceeds limit.
func (l *entryLog) compact(applied structs.Index, limit int) {
	if l.bytes <= 2*limit {
		return
	}
	drop, size := 0, l.bytes
	for drop < len(l.entries) && size > limit && l.entries[drop].Index <= applied {
		size -= l.entries[drop].size()
		drop++
	}
	if drop == 0 {
		return
	}
	last := l.entries[drop-1]
	l.baseGroup = l.groupAt(last.Index)
	l.base, l.baseEpoch = last.Index, last.Epoch
	l.entries = slices.Clone(l.entries[drop:])
	l.bytes = size
}
