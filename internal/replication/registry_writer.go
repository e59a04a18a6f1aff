package replication

import (
	"encoding/json"
	"slices"
	"strconv"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// write appends the next entry to write, if any, one at a time.
func (g *registry) write() {
	g.mutex.Lock()
	entry, due := g.nextEntry()
	if !due || g.appending {
		g.mutex.Unlock()
		return
	}
	g.appending = true
	g.sequence++
	operation := "groups/" + string(g.manager.Self.ID) + "/" + strconv.Itoa(g.sequence)
	g.mutex.Unlock()
	payload, err := json.Marshal(entry)
	if err != nil {
		g.manager.Logger.Error().Err(err).Msg("Entry for the groups' stream cannot be encoded.")
		g.appended(entry, err)
		return
	}
	g.manager.Log.Append(framework.StreamGroups, operation, payload, func(_ structs.LogOffset, err error) {
		g.appended(entry, err)
	})
}

// appended handles the answer to an append. After an error the next read shows
// whether it took effect.
func (g *registry) appended(entry groupsEntry, err error) {
	hasClaims := len(entry.Claims) > 0
	g.mutex.Lock()
	g.appending = false
	if err == nil {
		g.dropWritten(entry)
	}
	if hasClaims {
		g.quickReads = quickReadCount
	}
	g.mutex.Unlock()
	if g.manager.isStopped() {
		return
	}
	if hasClaims {
		g.schedule(g.manager.Settings.LogInterval / quickReadDivisor)
	}
	if err == nil {
		g.read()
	}
}

// nextEntry returns the next entry to write.
func (g *registry) nextEntry() (groupsEntry, bool) {
	if !g.hasGroups {
		first, ready := g.firstGroups()
		return groupsEntry{Genesis: first}, ready
	}
	g.claims = slices.DeleteFunc(g.claims, func(c claim) bool {
		return g.groups[c.Shard].generation >= c.Generation
	})
	if len(g.claims) > 0 {
		return groupsEntry{Claims: slices.Clone(g.claims)}, true
	}
	if len(g.notes) > 0 {
		return groupsEntry{Notes: g.sortedNotes()}, true
	}
	return groupsEntry{}, false
}

// dropWritten drops what was written from what waits to be written.
func (g *registry) dropWritten(entry groupsEntry) {
	g.claims = slices.DeleteFunc(g.claims, func(c claim) bool { return slices.Contains(entry.Claims, c) })
	for _, note := range entry.Notes {
		if g.notes[note.Shard].Epoch == note.Epoch && slices.Equal(g.notes[note.Shard].Group, note.Group) {
			delete(g.notes, note.Shard)
		}
	}
}

func (g *registry) sortedNotes() []groupNote {
	notes := make([]groupNote, 0, len(g.notes))
	for _, note := range g.notes {
		notes = append(notes, note)
	}
	slices.SortFunc(notes, func(a, b groupNote) int { return int(a.Shard) - int(b.Shard) })
	return notes
}

// noteGroup queues a note of a shard's new group for the stream.
func (m *Manager) noteGroup(shard structs.ShardNumber, epoch structs.Epoch, group Group) {
	m.registry.mutex.Lock()
	defer m.registry.mutex.Unlock()
	m.registry.notes[shard] = groupNote{Shard: shard, Epoch: epoch, Group: group}
}
