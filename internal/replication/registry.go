package replication

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// groupsEntry is one entry of the groups' stream. Exactly one field is set.
type groupsEntry struct {
	Genesis *genesis    `json:"genesis,omitempty"`
	Claims  []claim     `json:"claims,omitempty"`
	Notes   []groupNote `json:"notes,omitempty"`
}

// claim replaces a group that lost its majority by one daemon. The first claim
// in the stream for a generation of a shard counts.
type claim struct {
	Shard      structs.ShardNumber `json:"shard"`
	Generation uint64              `json:"generation"`
	Claimant   structs.DaemonID    `json:"claimant"`
	// Empty is set when no member survived: the shard starts from its archive,
	// or empty.
	Empty bool `json:"empty,omitempty"`
}

// groupNote announces a shard's new group. It is a hint: decisions that depend
// on it ask the daemons first.
type groupNote struct {
	Shard structs.ShardNumber `json:"shard"`
	Epoch structs.Epoch       `json:"epoch"`
	Group Group               `json:"group"`
}

// knownGroup is a shard's group according to the stream.
type knownGroup struct {
	generation uint64
	epoch      structs.Epoch
	group      Group
}

// registry applies the groups' stream of the platform's log, and writes to it.
// The order in the stream alone decides, so an append whose answer was lost may
// be repeated: the second has no effect.
type registry struct {
	manager *Manager

	mutex     sync.Mutex
	next      structs.LogOffset
	caughtUp  bool
	timer     clock.Timer
	tickAt    time.Time
	reading   bool
	startedAt time.Time
	hasGroups bool
	groups    map[structs.ShardNumber]knownGroup
	// genesisAt is when this daemon may write the genesis, zero while it sees
	// too few others.
	genesisAt time.Time
	sequence  int
	appending bool
	// notes are the notes to write, the latest of each shard.
	notes map[structs.ShardNumber]groupNote
	// claims are the claims to write.
	claims []claim
	search *search
	// searchTimer runs while a search is scheduled before the next tick.
	searchTimer clock.Timer
	// quickReads counts the remaining reads at short intervals, since a claim
	// of this daemon may be in the stream.
	quickReads int
	// survivors are the replicas that claim their shard if the next search
	// allows it.
	survivors map[structs.ShardNumber]*survivor
	// leaderlessSince is since when the group of a shard in the stream is out
	// of date and no leader is known.
	leaderlessSince map[structs.ShardNumber]time.Time
}

// maxEntriesPerRead limits the entries of one read.
const maxEntriesPerRead = 200

// Delays between reads of the stream, as parts and multiples of LogInterval.
const (
	// firstReadDivisor: until the first groups are known.
	firstReadDivisor = 4
	// quickReadDivisor: for quickReadCount reads after a claim was written,
	// because the shard serves no calls until the claim is read back.
	quickReadDivisor = 8
	quickReadCount   = 16
	// idleReadFactor: while nothing is expected.
	idleReadFactor = 4
	// readJitterDivisor gives the largest part of a delay that is added at
	// random.
	readJitterDivisor = 4
)

func newRegistry(m *Manager) *registry {
	return &registry{
		manager:         m,
		groups:          map[structs.ShardNumber]knownGroup{},
		notes:           map[structs.ShardNumber]groupNote{},
		survivors:       map[structs.ShardNumber]*survivor{},
		leaderlessSince: map[structs.ShardNumber]time.Time{},
	}
}

func (g *registry) start() {
	g.startedAt = g.manager.Clock.Now()
	g.tick()
}

// tick reads the stream, searches for orphans and schedules the next tick.
func (g *registry) tick() {
	if g.manager.isStopped() {
		return
	}
	// Claims are decided again each time: one that waited while the log was
	// down must not be written after its group came back.
	g.mutex.Lock()
	// The timer has fired. tickAt may still lie ahead if the clock was set
	// back.
	g.timer = nil
	g.claims = nil
	g.mutex.Unlock()
	g.searchOrphans()
	for _, r := range g.manager.sortedReplicas() {
		r.post(r.claimIfMajorityLost)
	}
	g.read()
	pause := g.pauseBeforeNextRead()
	g.schedule(pause + g.manager.jitter(pause/readJitterDivisor))
}

// pauseBeforeNextRead returns the delay before the next tick.
func (g *registry) pauseBeforeNextRead() time.Duration {
	interval := g.manager.Settings.LogInterval
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch {
	case g.quickReads > 0:
		g.quickReads--
		return interval / quickReadDivisor
	case !g.hasGroups:
		return interval / firstReadDivisor
	case g.needsPromptRead():
		return interval
	default:
		return idleReadFactor * interval
	}
}

// schedule arms the next tick, unless an earlier one is scheduled.
func (g *registry) schedule(pause time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.manager.Clock.Now()
	due := now.Add(pause)
	if g.timer != nil && g.tickAt.After(now) && !due.Before(g.tickAt) {
		return
	}
	if g.timer != nil {
		g.timer.Stop()
	}
	g.tickAt = due
	g.timer = g.manager.Clock.AfterFunc(pause, g.tick)
}

// needsPromptRead reports whether the stream must be read soon: a shard known
// here has no majority, or something waits to be written.
func (g *registry) needsPromptRead() bool {
	toWrite := len(g.notes) > 0 || len(g.claims) > 0
	searching := g.search != nil || len(g.survivors) > 0 || len(g.leaderlessSince) > 0
	return toWrite || searching || g.hasOrphan() || g.manager.hasShardWithoutMajority()
}

// read reads the next entries, and those after them, until it has caught up.
func (g *registry) read() {
	g.mutex.Lock()
	if g.reading {
		g.mutex.Unlock()
		return
	}
	g.reading = true
	next := g.next
	g.mutex.Unlock()
	g.manager.Log.Read(framework.StreamGroups, next, maxEntriesPerRead, g.receiveEntries)
}

// receiveEntries handles the answer to a read. After an error the next tick
// reads again.
func (g *registry) receiveEntries(entries []framework.LogEntry, err error) {
	g.mutex.Lock()
	g.reading = false
	g.mutex.Unlock()
	if err != nil || g.manager.isStopped() {
		return
	}
	for _, entry := range entries {
		g.apply(entry)
	}
	if len(entries) > 0 {
		g.read()
		return
	}
	g.mutex.Lock()
	g.caughtUp = true
	g.mutex.Unlock()
	g.write()
}

// apply applies one entry. Entries that were read before, or that cannot be
// decoded, change nothing.
func (g *registry) apply(entry framework.LogEntry) {
	g.mutex.Lock()
	if entry.Offset < g.next {
		g.mutex.Unlock()
		return
	}
	g.next = entry.Offset + 1
	var body groupsEntry
	if err := json.Unmarshal(entry.Payload, &body); err != nil {
		g.mutex.Unlock()
		g.manager.Logger.Warn().Err(err).Msg("Entry of the groups' stream cannot be decoded.")
		return
	}
	var effects []func()
	if body.Genesis != nil && !g.hasGroups {
		effects = g.applyGenesis(body.Genesis)
	}
	for _, c := range body.Claims {
		if effect := g.applyClaim(c); effect != nil {
			effects = append(effects, effect)
		}
	}
	for _, note := range body.Notes {
		g.applyNote(note)
	}
	g.mutex.Unlock()
	for _, effect := range effects {
		effect()
	}
}

func (g *registry) applyClaim(c claim) func() {
	m := g.manager
	known := g.groups[c.Shard]
	if !g.hasGroups || int(c.Shard) >= m.Settings.Shards || c.Generation != known.generation+1 {
		return nil
	}
	g.groups[c.Shard] = knownGroup{
		generation: c.Generation,
		epoch:      firstEpoch(c.Generation),
		group:      Group{c.Claimant},
	}
	if c.Claimant == m.Self.ID {
		return func() { m.claimWon(c) }
	}
	return func() { m.claimLost(c) }
}

func (g *registry) applyNote(note groupNote) {
	known, exists := g.groups[note.Shard]
	if exists && generation(note.Epoch) == known.generation && note.Epoch >= known.epoch {
		known.epoch, known.group = note.Epoch, note.Group
		g.groups[note.Shard] = known
	}
}

// epoch returns the lowest valid epoch of a shard.
func (g *registry) epoch(shard structs.ShardNumber) structs.Epoch {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if number := g.groups[shard].generation; number > 0 {
		return firstEpoch(number)
	}
	return 0
}

// group returns a shard's group according to the stream.
func (g *registry) group(shard structs.ShardNumber) Group {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.groups[shard].group
}

// isUnavailable reports whether calls for a shard are refused rather than kept
// waiting: the first groups are unknown for too long, or all members are dead.
func (g *registry) isUnavailable(shard structs.ShardNumber) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.hasGroups {
		settings := g.manager.Settings
		return g.manager.Clock.Now().Sub(g.startedAt) > settings.GenesisWait+settings.NoMajorityAfter
	}
	return g.isOrphan(shard)
}
