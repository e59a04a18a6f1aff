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

// One of four zones is cut off from the others and from the store, silently, and
// comes back; or the store does, or daemons that were killed. All sizes but those of records are a tenth of a fleet of 75 daemons
// whose shards have 3 MB each and whose store reads 80 MB a second.
const (
	returnDaemons = 60
	returnZones   = 4
	returnShards  = 48
	// returnHistory is the number of turns that each shard keeps, of returnTurn bytes.
	returnHistory = 75
	returnTurn    = 4000
	// returnReadRate is what the store reads in a second, and returnLinkRate what the
	// link of a daemon carries, in bytes.
	returnReadRate = 8 << 20
	returnLinkRate = 2 << 20
	// returnShare is the part of the store's reading that a return may take: some shards
	// at once beside the part for planned handovers.
	returnShare = 0.4
	// returnPage bounds a page of newest records, in bytes.
	returnPage = 100 << 10
	returnWay  = 1500 * time.Microsecond

	returnCutAt  = 6 * time.Second
	returnCutFor = 6 * time.Second
	returnEnd    = 24 * time.Second
	// claimRace is the most that daemons which claim a shard at once differ by.
	claimRace = time.Second
	// A cut daemon is suspect after suspectAfter and dead deadAfter later, to each of
	// the others a little later or sooner. Once the cut has ended, the store is reached
	// within storeBack, other daemons within linkBack and told alive within viewBack.
	suspectAfter = 800 * time.Millisecond
	deadAfter    = 1500 * time.Millisecond
	storeBack    = 300 * time.Millisecond
	linkBack     = 1200 * time.Millisecond
	// restartAfter is when daemons that were killed run again, and runHeard within which
	// the others hear of it.
	restartAfter = 2 * time.Second
	runHeard     = 500 * time.Millisecond
	viewBack     = 2500 * time.Millisecond

	returnPrograms = 2 * returnShards
	returnThink    = 150 * time.Millisecond
	returnMost     = 100
	// returnTurns is the most turns of a program; its budget is half more than the most
	// of all its turns, of which each uses a third.
	returnTurns     = 10
	returnRetention = 60 * time.Second
)

// returnTrouble is what a fleet goes through from returnCutAt on.
type returnTrouble struct {
	name string
	// zone: one zone is cut off from all else, for returnCutFor.
	zone bool
	// outage: the store does not answer anybody for so long.
	outage bool
	// killed is the part of the daemons that are killed, and run again restartAfter.
	killed float64
	// calmIn is from when on, after its end, no turn fails.
	calmIn time.Duration
}

// returnFleet is a fleet that goes through a trouble.
type returnFleet struct {
	*testFleet
	returnTrouble
	began time.Time

	mutex sync.Mutex
	// readBusyUntil is when the store has read all that it was asked for, and
	// linkBusyUntil the same of a daemon's link.
	readBusyUntil time.Time
	linkBusyUntil map[structs.DaemonID]time.Time
	// bytes were asked of the store in each second, keys and values as base64.
	bytes []int
	// holders are those of each shard by the store's word, since claimedAt.
	holders   []structs.DaemonID
	claimedAt []time.Duration
	// seizures were made of holders that lived, were reached by the store, and held the
	// shard for longer than two that claim it at once differ by; claims are all others.
	seizures []time.Duration
	claims   []time.Duration
	// served tells for each shard when turns began, and waits how long the longest
	// of each second took.
	served    [][]time.Duration
	waits     []time.Duration
	failed    []int
	begun     []int
	wrongOver []string
}

func newReturnFleet(t *testing.T, trouble returnTrouble) *returnFleet {
	f := &returnFleet{testFleet: newTestFleet(t, 0), returnTrouble: trouble, began: time.Now(), linkBusyUntil: map[structs.DaemonID]time.Time{}}
	f.shards, f.readBytes = returnShards, returnReadRate
	f.holders, f.claimedAt = make([]structs.DaemonID, returnShards), make([]time.Duration, returnShards)
	f.served = make([][]time.Duration, returnShards)
	seconds := int(returnEnd/time.Second) + 10
	f.bytes, f.waits, f.failed, f.begun = make([]int, seconds), make([]time.Duration, seconds), make([]int, seconds), make([]int, seconds)
	f.testFleet.viewOf = func(id structs.DaemonID) View { return &returnView{returnFleet: f, self: id} }
	f.testFleet.storeOf = func(id structs.DaemonID) store.Store {
		return &returnStore{Store: f.testFleet.store, fleet: f, self: id}
	}
	f.testFleet.severed = f.isSevered
	f.fill(t)
	for i := range returnDaemons {
		f.start(daemonID(i, 1))
	}
	return f
}

// fill gives each shard its history.
func (f *returnFleet) fill(t *testing.T) {
	for shard := range returnShards {
		var records []store.Record
		for i := range returnHistory {
			turn := &turnEntry{KeptTurn: KeptTurn{ID: fmt.Sprintf("old-%d-%d", shard, i), Input: make([]byte, returnTurn)}, RetentionMS: returnRetention.Milliseconds()}
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

func (f *returnFleet) now() time.Duration { return time.Since(f.began) }

// second is the index of the second that a time lies in.
func (f *returnFleet) second() int { return min(int(f.now()/time.Second), len(f.bytes)-1) }

// zoneOfDaemon tells the zones of the daemons' addresses.
var zoneOfDaemon = func() map[string]int {
	zones := map[string]int{}
	for i := range returnDaemons {
		zones[daemonID(i, 1).Address()] = i % returnZones
	}
	return zones
}()

func (f *returnFleet) isCutOff(id structs.DaemonID) bool {
	return f.zone && zoneOfDaemon[id.Address()] == returnZones-1
}

// isKilled tells whether the daemon at an address is one of those that are killed.
func (f *returnFleet) isKilled(address string) bool {
	return float64(xxhash.Sum64String("kill"+address)%1000) < 1000*f.killed
}

// killAndRestart ends some daemons at once, and runs them again.
func (f *returnFleet) killAndRestart() {
	time.Sleep(returnCutAt)
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

// spreadOf is a time below most that is the same for a pair of daemons.
func spreadOf(what string, a, b structs.DaemonID, most time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(what+string(a)+string(b)) % uint64(most))
}

func (f *returnFleet) isDuringCut(more time.Duration) bool {
	now := f.now()
	return now >= returnCutAt && now < returnCutAt+returnCutFor+more
}

// isSevered tells whether a message between two daemons is lost.
func (f *returnFleet) isSevered(from, to structs.DaemonID) bool {
	return f.isCutOff(from) != f.isCutOff(to) && f.isDuringCut(spreadOf("link", from, to, linkBack))
}

// noteClaim takes note of a claim that the store took.
func (f *returnFleet) noteClaim(shard int, by structs.DaemonID) {
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

// caller returns a daemon that a program's next turn enters by: mostly one of its zone.
func (f *returnFleet) caller(random *rand.Rand, zone int) *Service {
	if random.Float64() < 0.2 {
		zone = random.IntN(returnZones)
	}
	for {
		address := daemonID(random.IntN(returnDaemons/returnZones)*returnZones+zone, 1).Address()
		for run := uint64(1); run <= 2; run++ {
			if s := f.testFleet.service(structs.NewDaemonID(address, run)); s != nil {
				return s
			}
		}
	}
}

// run lets a line of programs take turns, one program after the other.
func (f *returnFleet) run(number int) {
	random := rand.New(rand.NewPCG(uint64(number), 7))
	for life := 0; f.now() < returnEnd; life++ {
		f.runProgram(random, fmt.Sprintf("program-%d-%d", number, life), number%returnZones)
	}
}

// runProgram takes a program's turns, each as often as its caller would ask.
func (f *returnFleet) runProgram(random *rand.Rand, program string, zone int) {
	spent, previous := int64(0), ""
	turns := 2 + random.IntN(returnTurns-1)
	for number := range turns {
		time.Sleep(time.Duration(random.Int64N(2 * int64(returnThink))))
		turn := Turn{Program: program, MaxTokens: returnMost, BudgetTokens: int64(turns) * returnMost * 3 / 2, Previous: previous, Retention: returnRetention}
		began := false
		for try := 0; try < 3 && !began; try++ {
			s := f.caller(random, zone)
			turn.ID = fmt.Sprintf("%s-%d-%d", program, number, try)
			if began = f.begin(s, turn, spent); !began {
				s.Abandon(turn)
				time.Sleep(200 * time.Millisecond)
				continue
			}
			used := int64(returnMost / 3)
			spent += used
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			err := s.End(ctx, Outcome{Turn: turn.ID, Program: program, UsedTokens: used, Retention: returnRetention, Kept: &KeptTurn{
				ID: turn.ID, Previous: previous, Input: make([]byte, returnTurn/4),
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

// begin lets a turn begin as long as its caller waits for that.
func (f *returnFleet) begin(s *Service, turn Turn, spent int64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callersPatience)
	defer cancel()
	second, started := f.second(), time.Now()
	inside := f.isCutOff(s.Self) && f.isDuringCut(0)
	_, err := s.Begin(ctx, turn)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if errors.Is(err, ErrBudgetSpent) && spent+turn.MaxTokens <= turn.BudgetTokens {
		f.wrongOver = append(f.wrongOver, fmt.Sprintf("%s at %v", turn.ID, f.now()))
	}
	if inside {
		return err == nil // nothing is promised to callers that are cut off
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

// firstServed returns when the last of all shards was first served after a time.
func (f *returnFleet) firstServed(after time.Duration) time.Duration {
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

// TestReturnOfAZone: a zone that comes back, a store that answers again and daemons that
// are started again neither take shards from holders that live, nor make the fleet ask
// more of the store than it reads.
func TestReturnOfAZone(t *testing.T) {
	for _, trouble := range []returnTrouble{
		{name: "zone cut off", zone: true, calmIn: 2 * time.Second},
		{name: "store out", outage: true, calmIn: 2 * time.Second},
		{name: "most killed", killed: 0.55},
	} {
		t.Run(trouble.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playReturn(t, trouble) })
		})
	}
}

func playReturn(t *testing.T, trouble returnTrouble) {
	f := newReturnFleet(t, trouble)
	var callers sync.WaitGroup
	if trouble.killed > 0 {
		callers.Go(f.killAndRestart)
	}
	for number := range returnPrograms {
		callers.Go(func() { f.run(number) })
	}
	callers.Wait()
	back := returnCutAt + returnCutFor
	for second := range int(returnEnd / time.Second) {
		t.Logf("%2d s: %5.2f of the store's reading, %4d turns, %3d failed, longest wait %v", second,
			float64(f.bytes[second])/returnReadRate, f.begun[second], f.failed[second], f.waits[second])
	}
	t.Logf("claims %s", perSecond(f.claims))
	t.Logf("seizures of living holders %s", perSecond(f.seizures))
	t.Logf("all shards served %v after the cut, %v after its end", f.firstServed(returnCutAt)-returnCutAt, f.firstServed(back)-back)
	t.Logf("refused with room in their budget: %d %v", len(f.wrongOver), f.wrongOver[:min(len(f.wrongOver), 5)])
	if seized := countAfter(f.seizures, returnCutAt); seized > 0 {
		t.Errorf("%d shards were seized of holders that live", seized)
	}
	if len(f.wrongOver) > 0 {
		t.Errorf("%d turns were refused that had room in their program's budget", len(f.wrongOver))
	}
	f.expectCalmAfter(t, back)
}

// expectCalmAfter: from a time on the store's reading is hardly used, and soon no turn
// fails.
func (f *returnFleet) expectCalmAfter(t *testing.T, back time.Duration) {
	t.Helper()
	for second := int(back / time.Second); second < int(returnEnd/time.Second); second++ {
		if share := float64(f.bytes[second]) / returnReadRate; share > returnShare {
			t.Errorf("%.2f of the store's reading is asked for in second %d, want %.2f at most", share, second, returnShare)
		}
		if second >= int((back+f.calmIn)/time.Second) && f.failed[second] > 0 {
			t.Errorf("%d turns failed in second %d", f.failed[second], second)
		}
	}
}

func perSecond(times []time.Duration) string {
	counts := make([]int, int(returnEnd/time.Second)+10)
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
