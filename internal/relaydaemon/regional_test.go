package relaydaemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/ledger"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/residency"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/memory"
	"github.com/mintpulley/mintpulley/internal/store/proxy"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/zone"
)

var testRegions = []string{"east", "north", "south"}

// regionalFleet is a set of six daemons in three regions that share one store. Its transport checks
// every message.
type regionalFleet struct {
	t      *testing.T
	store  *memory.Store
	number int
	// unused: daemons that start have no routes that name regions.
	unused bool

	mutex   sync.Mutex
	daemons []*regionalDaemon
	// allowed are the regions of the current turn, nil for all, and front is the daemon that its
	// caller reached.
	allowed []string
	front   structs.DaemonID
	// messagesWithText counts the messages that contain text.
	messagesWithText int
}

// regionalDaemon is one process of a daemon.
type regionalDaemon struct {
	structs.Daemon
	common   *ledger.Service
	store    *proxy.Service
	regional *regionalLedgers
	joined   *residency.Ledger
	stop     context.CancelFunc
	// refused: the store refuses its calls. leaving: it announces its shutdown.
	refused, leaving bool
}

func newRegionalFleet(t *testing.T) *regionalFleet {
	f := &regionalFleet{t: t, store: memory.New()}
	for i := range 6 {
		f.add(f.start(i, testRegions[i%len(testRegions)]))
	}
	return f
}

func (f *regionalFleet) add(d *regionalDaemon) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.daemons = append(f.daemons, d)
}

// start starts a process of the daemon at a place, in a region.
func (f *regionalFleet) start(place int, own string) *regionalDaemon {
	f.number++
	d := &regionalDaemon{Daemon: structs.Daemon{
		ID:     structs.NewDaemonID(fmt.Sprintf("10.0.0.%d:7000", place+1), uint64(f.number)),
		Region: structs.RegionName(own),
	}}
	zones := map[string]string{}
	for _, region := range testRegions {
		zones[region+"-a"] = region
	}
	transport := regionalTransport{fleet: f, self: d}
	d.store = proxy.New(proxy.Options{
		Self: d.ID, Direct: refusingStore{Store: f.store, daemon: d, fleet: f}, Transport: transport, View: f,
		Random: newRandom(), MayHelp: mayHelp, Logger: zerolog.Nop(), Metrics: proxy.NewMetrics(prometheus.NewRegistry()),
	})
	options := ledger.Options{
		Self: d.ID, Store: d.store, Connectivity: d.store, Transport: transport, View: f,
		Partitions: ledgerPartitions(DefaultSettings()), Directory: store.Partition{Space: ledgerDirectory},
		Logger: zerolog.Nop(), Metrics: ledger.NewMetrics(prometheus.NewRegistry()),
	}
	d.common = ledger.NewService(options)
	d.regional = newRegionalLedgers(zone.NewTopology(string(d.Region)+"-a", string(d.Region), zones), options)
	d.joined = d.regional.combinedLedger(d.common)
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	f.t.Cleanup(func() {
		cancel()
		d.joined.Wait(context.Background())
	})
	go d.common.Run(ctx)
	d.regional.setRunner(func(s *ledger.Service) { go s.Run(ctx) })
	if !f.unused {
		d.regional.startAll()
	}
	return d
}

// Members implements membership.View.
func (f *regionalFleet) Members() []membership.Member {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var members []membership.Member
	for _, d := range f.daemons {
		state := membership.StateAlive
		if d.leaving {
			state = membership.StateLeaving
		}
		members = append(members, membership.Member{Daemon: d.Daemon, State: state})
	}
	return members
}

// State implements membership.View.
func (f *regionalFleet) State(id structs.DaemonID) membership.State {
	if f.find(id) == nil {
		return membership.StateDead
	}
	return membership.StateAlive
}

// Lookup implements ledger.View.
func (f *regionalFleet) Lookup(address string) (membership.Member, bool) {
	for _, member := range f.Members() {
		if member.Daemon.ID.Address() == address {
			return member, true
		}
	}
	return membership.Member{}, false
}

// Subscribe implements membership.View.
func (f *regionalFleet) Subscribe(func(membership.Member)) {}

func (f *regionalFleet) find(id structs.DaemonID) *regionalDaemon {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, d := range f.daemons {
		if d.ID == id || id.Incarnation() == structs.AnyIncarnation && d.ID.Address() == id.Address() {
			return d
		}
	}
	return nil
}

// check fails the test if a message with the text of turns goes to a daemon outside the allowed
// regions, other than the one that the caller reached.
func (f *regionalFleet) check(from, to *regionalDaemon, message peer.Message) {
	if !bytes.Contains(textOf(reflect.ValueOf(message)), []byte("secret")) {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.messagesWithText++
	if f.allowed != nil && to.ID != f.front && !slices.Contains(f.allowed, string(to.Region)) {
		f.t.Errorf("%T with text from %s (%s) to %s in %s; allowed: %v", message, from.ID, from.Region, to.ID, to.Region, f.allowed)
	}
}

// textOf concatenates all bytes in a value.
func textOf(value reflect.Value) []byte {
	var text []byte
	switch value.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !value.IsNil() {
			text = textOf(value.Elem())
		}
	case reflect.Struct:
		for i := range value.NumField() {
			text = append(text, textOf(value.Field(i))...)
		}
	case reflect.Slice:
		if value.Type().Elem().Kind() == reflect.Uint8 {
			return value.Bytes()
		}
		for i := range value.Len() {
			text = append(text, textOf(value.Index(i))...)
		}
	}
	return text
}

// regionalTransport sends a daemon's messages to the others.
type regionalTransport struct {
	fleet *regionalFleet
	self  *regionalDaemon
}

// Send implements peer.Transport.
func (t regionalTransport) Send(to structs.DaemonID, message peer.Message) {
	target := t.fleet.find(to)
	if target == nil || t.fleet.find(t.self.ID) == nil {
		return
	}
	t.fleet.check(t.self, target, message)
	go func() {
		if !target.store.Receive(t.self.ID, message) && !target.common.Receive(t.self.ID, message) {
			target.regional.receive(t.self.ID, message)
		}
	}()
}

// refusingStore refuses the calls of a daemon while its refused flag is set.
type refusingStore struct {
	*memory.Store
	daemon *regionalDaemon
	fleet  *regionalFleet
}

func (s refusingStore) isRefused() bool {
	s.fleet.mutex.Lock()
	defer s.fleet.mutex.Unlock()
	return s.daemon.refused
}

// Append implements store.Store.
func (s refusingStore) Append(ctx context.Context, p store.Partition, w store.Writer, records []store.Record) error {
	if s.isRefused() {
		return store.ErrUnavailable
	}
	return s.Store.Append(ctx, p, w, records)
}

// NewestPage implements store.Store.
func (s refusingStore) NewestPage(ctx context.Context, p store.Partition, after string) (store.Page, error) {
	if s.isRefused() {
		return store.Page{}, store.ErrUnavailable
	}
	return s.Store.NewestPage(ctx, p, after)
}

// Read implements store.Store.
func (s refusingStore) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	if s.isRefused() {
		return nil, from, store.ErrUnavailable
	}
	return s.Store.Read(ctx, p, from, wait)
}

// disturb replaces a daemon by another process, or toggles whether the store refuses it.
func (f *regionalFleet) disturb(random *rand.Rand) {
	i := random.IntN(len(f.daemons))
	if random.IntN(2) == 0 {
		f.replace(i, string(f.daemons[i].Region))
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	// At least one daemon of each region reaches the store, as the others' helper.
	f.daemons[i].refused = !f.daemons[(i+len(testRegions))%len(f.daemons)].refused && !f.daemons[i].refused
}

// replace kills a daemon and starts another at its address.
func (f *regionalFleet) replace(i int, region string) {
	f.daemons[i].stop()
	replaced := f.start(i, region)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.daemons[i] = replaced
}

func (f *regionalFleet) allow(regions []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.allowed = regions
}

// turn runs a turn by way of a daemon until it is recorded.
func (f *regionalFleet) turn(d *regionalDaemon, program, previous, want string, number int, allowed []string) string {
	f.mutex.Lock()
	f.front = d.ID
	f.mutex.Unlock()
	f.allow(allowed)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	id := fmt.Sprintf("%s-%d", program, number)
	turn := ledger.Turn{ID: id, Program: program, Previous: previous, BudgetTokens: 1000, MaxTokens: 10, Retention: time.Hour, Regions: allowed}
	var grant ledger.Grant
	for {
		var err error
		if grant, err = d.joined.Begin(ctx, turn); err == nil {
			break
		}
		if !errors.Is(err, ledger.ErrUnavailable) || ctx.Err() != nil {
			f.t.Fatalf("turn %s: %v", id, err)
		}
		time.Sleep(beginRetryInterval)
	}
	if string(grant.History) != want {
		f.t.Fatalf("turn %s got the history %q, want %q", id, grant.History, want)
	}
	input, output := fmt.Sprintf("secret %s in;", id), fmt.Sprintf("secret %s out;", id)
	outcome := ledger.Outcome{
		Turn: id, Program: program, Retention: time.Hour, UsedTokens: 10, Regions: allowed,
		Kept: &ledger.KeptTurn{ID: id, Previous: previous, Input: []byte(input), Output: []byte(output)},
	}
	if err := d.joined.End(ctx, outcome); err != nil {
		f.t.Fatalf("end of %s: %v", id, err)
	}
	return want + input + output
}

const beginRetryInterval = 50 * time.Millisecond

// TestTextOfTurnsStaysInItsRegions checks that the text of turns restricted to one or two regions
// does not leave them, while turns enter anywhere, daemons are replaced and the store refuses some.
// Every turn must get the complete history.
func TestTextOfTurnsStaysInItsRegions(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				f := newRegionalFleet(t)
				for number := range 8 {
					program := fmt.Sprint("p", number)
					allowed := slices.Clone(testRegions)
					random.Shuffle(len(allowed), func(i, j int) { allowed[i], allowed[j] = allowed[j], allowed[i] })
					allowed = allowed[:1+random.IntN(2)]
					text, previous := "", ""
					for i := range 5 {
						text = f.turn(f.daemons[random.IntN(len(f.daemons))], program, previous, text, i, allowed)
						previous = fmt.Sprintf("%s-%d", program, i)
						if random.IntN(2) == 0 {
							f.disturb(random)
						}
					}
					f.allow([]string{}) // messages that are still sent have no text
					time.Sleep(time.Second)
				}
				if f.messagesWithText < 20 {
					t.Errorf("only %d messages contained text", f.messagesWithText)
				}
			})
		})
	}
}

// TestAddressThatMovesToAnotherRegionGetsNoText checks that a daemon which takes over the address
// of a daemon of another region gets none of that region's text.
func TestAddressThatMovesToAnotherRegionGetsNoText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRegionalFleet(t)
		first := f.turn(f.daemons[1], "p", "", "", 0, []string{"east"})
		for i, d := range f.daemons {
			if d.Region == "east" {
				f.replace(i, "south")
			}
		}
		f.add(f.start(6, "east"))
		f.turn(f.daemons[1], "p", "", "", 1, []string{"east"}) // without a history
		f.turn(f.daemons[1], "p", "p-0", first, 2, []string{"east"})
	})
}

// TestTurnsAreFoundWhenTheOperatorsChangeTheirRegions checks that a history is found after its
// regions change from none to some, to others and back to none, and that an unknown turn stays
// unknown throughout.
func TestTurnsAreFoundWhenTheOperatorsChangeTheirRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRegionalFleet(t)
		text, previous := "", ""
		for i, allowed := range [][]string{nil, {"east"}, {"north", "south"}, {"east", "south"}, nil} {
			d := f.daemons[i%len(f.daemons)]
			text = f.turn(d, "p", previous, text, i, allowed)
			previous = fmt.Sprintf("p-%d", i)
			unknown := ledger.Turn{ID: fmt.Sprint("u", i), Program: "p", Previous: "nobody's", Regions: allowed}
			if _, err := d.joined.Begin(t.Context(), unknown); !errors.Is(err, ledger.ErrUnknownTurn) {
				t.Errorf("a turn with an unknown predecessor: %v", err)
			}
		}
		// All daemons restart after no route names regions any more.
		f.unused = true
		bound := f.turn(f.daemons[0], "q", "", "", 0, []string{"north"})
		for i, d := range f.daemons {
			f.replace(i, string(d.Region))
		}
		f.turn(f.daemons[0], "q", "q-0", bound, 1, nil)
		f.turn(f.daemons[1], "p", previous, text, 9, nil)
		if !strings.Contains(text, "p-0") || !strings.Contains(text, "p-4") {
			t.Error(text)
		}
	})
}

// TestTurnsStayInARegionWhileItsDaemonsStop checks that turns stay in their region while its
// daemons are replaced one after the other, even if another region may hold them, too.
func TestTurnsStayInARegionWhileItsDaemonsStop(t *testing.T) {
	const (
		stopSpacing = 270 * time.Millisecond
		programs    = 2 * regionalShards // on any shard
	)
	synctest.Test(t, func(t *testing.T) {
		f := newRegionalFleet(t)
		front, allowed := f.daemons[2], []string{"east", "north"}
		text, home := map[string]string{}, map[string]string{}
		for number := range programs {
			program := fmt.Sprint("p", number)
			text[program] = f.turn(front, program, "", "", 0, allowed)
			home[program] = f.homeOf(program, program+"-0")
		}
		for i, d := range f.daemons {
			if d.Region == "east" {
				f.leave(i)
				time.Sleep(stopSpacing)
			}
		}
		for program := range text {
			text[program] = f.turn(front, program, program+"-0", text[program], 1, allowed)
			if kept := f.homeOf(program, program+"-1"); kept != home[program] {
				t.Errorf("%s is kept in %q, want %q, where daemons live", program, kept, home[program])
			}
		}
		for i, d := range f.daemons {
			if d.Region == "east" {
				f.replace(i, "east")
			}
		}
		for program := range text {
			f.turn(front, program, program+"-1", text[program], 2, allowed)
		}
	})
}

// leave makes a daemon announce its shutdown.
func (f *regionalFleet) leave(i int) {
	f.mutex.Lock()
	f.daemons[i].leaving = true
	f.mutex.Unlock()
	f.daemons[i].common.Leave()
	f.daemons[i].regional.leave()
}

// homeOf returns the region that holds a turn, "" if none does.
func (f *regionalFleet) homeOf(program, turn string) string {
	for _, region := range testRegions {
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
		service, _ := f.daemons[2].regional.serviceOf(region)
		_, err := service.Find(ctx, program, turn)
		cancel()
		if err == nil {
			return region
		}
	}
	return ""
}
