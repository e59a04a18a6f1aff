package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// In these tests one of four zones is cut off silently from the others and from the store
// and reconnects, the store is out and recovers, or daemons are killed and restart. All
// sizes except those of records are a tenth of those of a fleet of 75 daemons whose shards
// have 3 MB each and whose store reads 80 MB a second.
const (
	recoveryDaemons = 60
	recoveryZones   = 4
	recoveryShards  = 48
	// recoveryHistory is the number of turns that each shard keeps, of recoveryTurnBytes bytes.
	recoveryHistory   = 75
	recoveryTurnBytes = 4000
	// recoveryReadRate is the store's read capacity per second, and recoveryLinkRate the
	// capacity of a daemon's link, in bytes.
	recoveryReadRate = 8 << 20
	recoveryLinkRate = 2 << 20
	// recoveryShare is the part of the store's read capacity that a recovery may use: some
	// claims besides the share for planned handovers.
	recoveryShare = 0.4
	// recoveryPageBytes bounds a page of newest records, in bytes.
	recoveryPageBytes   = 100 << 10
	recoveryOneWayDelay = 1500 * time.Microsecond

	recoveryCutAt  = 6 * time.Second
	recoveryCutFor = 6 * time.Second
	recoveryEnd    = 24 * time.Second
	// claimRace is the largest difference in time between concurrent claims of a shard.
	claimRace = time.Second
	// A cut-off daemon becomes suspect after suspectAfter and dead after deadAfter; each of
	// the others sees this at a slightly different time. After the end of the cut, the
	// store is reached within storeBack, other daemons are reached within linkBack and seen
	// alive within viewBack.
	suspectAfter = 800 * time.Millisecond
	deadAfter    = 1500 * time.Millisecond
	storeBack    = 300 * time.Millisecond
	linkBack     = 1200 * time.Millisecond
	// restartAfter is when killed daemons run again, and restartSeenWithin the time within which the
	// others discover that.
	restartAfter      = 2 * time.Second
	restartSeenWithin = 500 * time.Millisecond
	viewBack          = 2500 * time.Millisecond

	recoveryPrograms  = 2 * recoveryShards
	recoveryPause     = 150 * time.Millisecond
	recoveryMaxTokens = 100
	// recoveryTurns is the most turns of a program. Its budget is one and a half times the
	// most of all its turns, of which each uses a third.
	recoveryTurns     = 10
	recoveryRetention = 60 * time.Second
)

// recoveryFault is a fault that a fleet goes through from recoveryCutAt on.
type recoveryFault struct {
	name string
	// zone: one zone is cut off from everything else, for recoveryCutFor.
	zone bool
	// outage: the store does not answer any daemon for that time.
	outage bool
	// killed is the part of the daemons that are killed, and run again after restartAfter.
	killed float64
	// calmIn is the time after the end of the fault from which on no turn fails.
	calmIn time.Duration
}

// recoveryFleet is a fleet that goes through a fault.
type recoveryFleet struct {
	*testFleet
	recoveryFault
	began time.Time

	mutex sync.Mutex
	// readBusyUntil is when the store has served all reads so far, and linkBusyUntil the
	// same for a daemon's link.
	readBusyUntil time.Time
	linkBusyUntil map[structs.DaemonID]time.Time
	// bytes were read from the store in each second, with keys and values in base64.
	bytes []int
	// holders are those of each shard according to the store, since claimedAt.
	holders   []structs.DaemonID
	claimedAt []time.Duration
	// seizures are claims of shards from holders that were alive, could reach the store,
	// and had held the shard for longer than claimRace; claims are all others.
	seizures []time.Duration
	claims   []time.Duration
	// served contains for each shard when turns began, and waits the longest wait in each
	// second.
	served         [][]time.Duration
	waits          []time.Duration
	failed         []int
	begun          []int
	wronglyRefused []string
}

func newRecoveryFleet(t *testing.T, fault recoveryFault) *recoveryFleet {
	f := &recoveryFleet{testFleet: newTestFleet(t, 0), recoveryFault: fault, began: time.Now(), linkBusyUntil: map[structs.DaemonID]time.Time{}}
	f.shards, f.readBytes = recoveryShards, recoveryReadRate
	f.holders, f.claimedAt = make([]structs.DaemonID, recoveryShards), make([]time.Duration, recoveryShards)
	f.served = make([][]time.Duration, recoveryShards)
	seconds := int(recoveryEnd/time.Second) + 10
	f.bytes, f.waits, f.failed, f.begun = make([]int, seconds), make([]time.Duration, seconds), make([]int, seconds), make([]int, seconds)
	f.testFleet.viewOf = func(id structs.DaemonID) View { return &recoveryView{recoveryFleet: f, self: id} }
	f.testFleet.storeOf = func(id structs.DaemonID) store.Store {
		return &recoveryStore{Store: f.testFleet.store, fleet: f, self: id}
	}
	f.testFleet.severed = f.isSevered
	f.fill(t)
	for i := range recoveryDaemons {
		f.start(daemonID(i, 1))
	}
	return f
}

// fill writes the history of each shard.
func (f *recoveryFleet) fill(t *testing.T) {
	for shard := range recoveryShards {
		var records []store.Record
		for i := range recoveryHistory {
			turn := &turnEntry{KeptTurn: KeptTurn{ID: fmt.Sprintf("old-%d-%d", shard, i), Input: make([]byte, recoveryTurnBytes)}, RetentionMS: recoveryRetention.Milliseconds()}
			value, err := encodeTurn(turn)
			if err != nil {
				t.Fatal(err)
			}
			records = append(records, store.Record{Key: turnPrefix + turn.ID, Value: value})
		}
		if err := f.testFleet.store.Append(context.Background(), store.Partition{Space: "ledger", Number: shard}, store.Writer{}, records); err != nil {
			t.Fatal(err)
		}
	}
}

func (f *recoveryFleet) now() time.Duration { return time.Since(f.began) }

// second returns the index of the current second.
func (f *recoveryFleet) second() int { return min(int(f.now()/time.Second), len(f.bytes)-1) }

// zoneOfDaemon maps the daemons' addresses to their zones.
var zoneOfDaemon = func() map[string]int {
	zones := map[string]int{}
	for i := range recoveryDaemons {
		zones[daemonID(i, 1).Address()] = i % recoveryZones
	}
	return zones
}()

func (f *recoveryFleet) isCutOff(id structs.DaemonID) bool {
	return f.zone && zoneOfDaemon[id.Address()] == recoveryZones-1
}

// isKilled reports whether the daemon at an address is one of those that are killed.
func (f *recoveryFleet) isKilled(address string) bool {
	return float64(xxhash.Sum64String("kill"+address)%1000) < 1000*f.killed
}

// killAndRestart kills some daemons at once, and runs them again.
func (f *recoveryFleet) killAndRestart() {
	time.Sleep(recoveryCutAt)
	for address := range zoneOfDaemon {
		if f.isKilled(address) {
			f.testFleet.kill(structs.NewDaemonID(address, 1))
		}
	}
	time.Sleep(restartAfter)
	for address := range zoneOfDaemon {
		if f.isKilled(address) {
			f.start(structs.NewDaemonID(address, 2))
		}
	}
}

// spreadOf returns a time below most that is constant for a pair of daemons.
func spreadOf(what string, a, b structs.DaemonID, most time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(what+string(a)+string(b)) % uint64(most))
}

func (f *recoveryFleet) isDuringCut(more time.Duration) bool {
	now := f.now()
	return now >= recoveryCutAt && now < recoveryCutAt+recoveryCutFor+more
}

// isSevered reports whether a message between two daemons is lost.
func (f *recoveryFleet) isSevered(from, to structs.DaemonID) bool {
	return f.isCutOff(from) != f.isCutOff(to) && f.isDuringCut(spreadOf("link", from, to, linkBack))
}

// noteClaim records a claim that the store accepted.
func (f *recoveryFleet) noteClaim(shard int, by structs.DaemonID) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	before, heldFor := f.holders[shard], f.now()-f.claimedAt[shard]
	f.holders[shard], f.claimedAt[shard] = by, f.now()
	holder := f.testFleet.service(before)
	lives := holder != nil && before != by && heldFor > claimRace && holder.holders[shard].status.holding.Load()
	if lives && (!f.isCutOff(before) || !f.isDuringCut(0)) {
		f.seizures = append(f.seizures, f.now())
		return
	}
	f.claims = append(f.claims, f.now())
}

// caller returns a daemon for a program's next turn, usually one of its zone.
func (f *recoveryFleet) caller(random *rand.Rand, zone int) *Service {
	if random.Float64() < 0.2 {
		zone = random.IntN(recoveryZones)
	}
	for {
		address := daemonID(random.IntN(recoveryDaemons/recoveryZones)*recoveryZones+zone, 1).Address()
		for run := uint64(1); run <= 2; run++ {
			if s := f.testFleet.service(structs.NewDaemonID(address, run)); s != nil {
				return s
			}
		}
	}
}

// run runs programs one after the other.
func (f *recoveryFleet) run(number int) {
	random := rand.New(rand.NewPCG(uint64(number), 7))
	for life := 0; f.now() < recoveryEnd; life++ {
		f.runProgram(random, fmt.Sprintf("program-%d-%d", number, life), number%recoveryZones)
	}
}

// runProgram runs a program's turns, repeating each as often as its caller would.
func (f *recoveryFleet) runProgram(random *rand.Rand, program string, zone int) {
	spent, previous := int64(0), ""
	turns := 2 + random.IntN(recoveryTurns-1)
	for number := range turns {
		time.Sleep(time.Duration(random.Int64N(2 * int64(recoveryPause))))
		turn := Turn{Program: program, MaxTokens: recoveryMaxTokens, BudgetTokens: int64(turns) * recoveryMaxTokens * 3 / 2, Previous: previous, Retention: recoveryRetention}
		began := false
		for try := 0; try < 3 && !began; try++ {
			s := f.caller(random, zone)
			turn.ID = fmt.Sprintf("%s-%d-%d", program, number, try)
			if began = f.begin(s, turn, spent); !began {
				s.Abandon(turn)
				time.Sleep(200 * time.Millisecond)
				continue
			}
			used := int64(recoveryMaxTokens / 3)
			spent += used
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			err := s.End(ctx, Outcome{Turn: turn.ID, Program: program, UsedTokens: used, Retention: recoveryRetention, Kept: &KeptTurn{
				ID: turn.ID, Previous: previous, Input: make([]byte, recoveryTurnBytes/4),
			}})
			cancel()
			if err != nil {
				return
			}
			previous = turn.ID
		}
		if !began {
			return
		}
	}
}

// begin begins a turn within the time that its caller waits.
func (f *recoveryFleet) begin(s *Service, turn Turn, spent int64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callersPatience)
	defer cancel()
	second, started := f.second(), time.Now()
	inside := f.isCutOff(s.Self) && f.isDuringCut(0)
	_, err := s.Begin(ctx, turn)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if errors.Is(err, ErrBudgetSpent) && spent+turn.MaxTokens <= turn.BudgetTokens {
		f.wronglyRefused = append(f.wronglyRefused, fmt.Sprintf("%s at %v", turn.ID, f.now()))
	}
	if inside {
		return err == nil // nothing is guaranteed to callers that are cut off
	}
	f.begun[second]++
	f.waits[second] = max(f.waits[second], time.Since(started))
	if err != nil {
		f.failed[second]++
		return false
	}
	shard := s.shardOf(turn.Program)
	f.served[shard] = append(f.served[shard], f.now())
	return true
}

// firstServed returns the time at which each shard had been served again after a time.
func (f *recoveryFleet) firstServed(after time.Duration) time.Duration {
	latest := time.Duration(0)
	for shard, times := range f.served {
		next := slices.IndexFunc(times, func(at time.Duration) bool { return at >= after })
		if next < 0 {
			f.t.Errorf("shard %d was not served after %v", shard, after)
			continue
		}
		latest = max(latest, times[next])
	}
	return latest
}

func countAfter(times []time.Duration, after time.Duration) int {
	count := 0
	for _, at := range times {
		if at >= after {
			count++
		}
	}
	return count
}

// TestRecoveryKeepsLiveHolders: when a zone reconnects, the store is back or daemons
// restart, no shard may be taken from a live holder, and the reads must stay within the
// store's capacity.
func TestRecoveryKeepsLiveHolders(t *testing.T) {
	for _, fault := range []recoveryFault{
		{name: "zone cut off", zone: true, calmIn: 2 * time.Second},
		{name: "store out", outage: true, calmIn: 2 * time.Second},
		{name: "most killed", killed: 0.55},
	} {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRecovery(t, fault) })
		})
	}
}

func playRecovery(t *testing.T, fault recoveryFault) {
	f := newRecoveryFleet(t, fault)
	var callers sync.WaitGroup
	if fault.killed > 0 {
		callers.Go(f.killAndRestart)
	}
	for number := range recoveryPrograms {
		callers.Go(func() { f.run(number) })
	}
	callers.Wait()
	back := recoveryCutAt + recoveryCutFor
	for second := range int(recoveryEnd / time.Second) {
		t.Logf("%2d s: %5.2f of the store's read capacity, %4d turns, %3d failed, longest wait %v", second,
			float64(f.bytes[second])/recoveryReadRate, f.begun[second], f.failed[second], f.waits[second])
	}
	t.Logf("claims %s", perSecond(f.claims))
	t.Logf("seizures from live holders %s", perSecond(f.seizures))
	t.Logf("all shards served %v after the cut, %v after its end", f.firstServed(recoveryCutAt)-recoveryCutAt, f.firstServed(back)-back)
	t.Logf("refused with room in their budget: %d %v", len(f.wronglyRefused), f.wronglyRefused[:min(len(f.wronglyRefused), 5)])
	if seized := countAfter(f.seizures, recoveryCutAt); seized > 0 {
		t.Errorf("%d shards were seized from live holders", seized)
	}
	if len(f.wronglyRefused) > 0 {
		t.Errorf("%d turns were refused that had room in their program's budget", len(f.wronglyRefused))
	}
	f.expectCalmAfter(t, back)
}

// expectCalmAfter expects that from a time on the store's read capacity is hardly used, and
// that soon no turn fails.
func (f *recoveryFleet) expectCalmAfter(t *testing.T, back time.Duration) {
	t.Helper()
	for second := int(back / time.Second); second < int(recoveryEnd/time.Second); second++ {
		if share := float64(f.bytes[second]) / recoveryReadRate; share > recoveryShare {
			t.Errorf("%.2f of the store's read capacity is used in second %d, want %.2f at most", share, second, recoveryShare)
		}
		if second >= int((back+f.calmIn)/time.Second) && f.failed[second] > 0 {
			t.Errorf("%d turns failed in second %d", f.failed[second], second)
		}
	}
}

func perSecond(times []time.Duration) string {
	counts := make([]int, int(recoveryEnd/time.Second)+10)
	for _, at := range times {
		counts[min(int(at/time.Second), len(counts)-1)]++
	}
	text := ""
	for second, count := range counts {
		if count > 0 {
			text += " " + strconv.Itoa(second) + "s:" + strconv.Itoa(count)
		}
	}
	return text
}
