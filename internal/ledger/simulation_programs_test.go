package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/ledger"
)

const (
	// beginTime is the relay's time limit for a turn's reservation, and recordTime how long
	// a caller waits for the end of an answer.
	beginTime  = 1200 * time.Millisecond
	recordTime = 3200 * time.Millisecond
	settleTime = 20 * time.Second
	retention  = time.Minute
	// maxTokens is the most tokens of one turn.
	maxTokens = 100
	// budgetExcess is by how much a program may exceed its budget if it began at a holder
	// that was lost before it had a record: half of one turn's most tokens.
	budgetExcess = maxTokens / 2
	// turnTries is how often a program tries a turn.
	turnTries = 12
)

// checker records what callers observed, and violations of the guarantees.
type checker struct {
	// excess is by how much programs may exceed their budgets.
	excess     int64
	mutex      sync.Mutex
	violations []string
	tokens     map[string]int64
	// completed contains each turn that was answered in full.
	completed map[string]completedTurn
	ids       []string
	refused   int
}

// completedTurn is a turn that was answered in full and must be kept for retention.
type completedTurn struct {
	history string
	at      time.Time
}

func newChecker(excess int64) *checker {
	return &checker{excess: excess, tokens: map[string]int64{}, completed: map[string]completedTurn{}}
}

func (c *checker) violated(format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, arguments...))
}

// gave records tokens that a caller received.
func (c *checker) gave(program string, budget, tokens int64) {
	c.mutex.Lock()
	c.tokens[program] += tokens
	total := c.tokens[program]
	c.mutex.Unlock()
	if total > budget+c.excess {
		c.violated("budget: program %s got %d tokens of %d", program, total, budget)
	}
}

// complete records a turn that was answered in full.
func (c *checker) complete(turn, history string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.completed[turn] = completedTurn{history: history, at: time.Now()}
	c.ids = append(c.ids, turn)
}

func (c *checker) refuse() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refused++
}

// anyTurn returns a completed turn, "" if there is none.
func (c *checker) anyTurn(pick func(n int) int) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.ids) == 0 {
		return ""
	}
	return c.ids[pick(len(c.ids))]
}

func (c *checker) history(turn string) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.completed[turn].history
}

// mustBeKept reports whether a completed turn is within its retention.
func (c *checker) mustBeKept(turn string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Since(c.completed[turn].at) < retention
}

// program is a caller's chain of turns.
type program struct {
	world   *world
	checker *checker
	id      string
	budget  int64
	last    string
	sent    int
}

// run runs turns one after another until the count is reached, the budget is spent or a
// turn fails for good.
func (p *program) run(turns int) {
	for range turns {
		if !p.turn() {
			return
		}
		time.Sleep(p.world.between(10*time.Millisecond, 200*time.Millisecond))
	}
}

// turn tries one turn until it is answered in full. False ends the program.
func (p *program) turn() bool {
	for range turnTries {
		done, over := p.try()
		if done || over {
			return done
		}
		time.Sleep(p.world.between(100*time.Millisecond, 400*time.Millisecond))
	}
	return false
}

// try tries one turn once, through any daemon.
func (p *program) try() (done, over bool) {
	daemon, run, service := p.world.anyDaemon()
	if daemon == nil {
		return false, false
	}
	p.sent++
	turn := ledger.Turn{
		ID: fmt.Sprintf("%s-%d", p.id, p.sent), Program: p.id,
		BudgetTokens: p.budget, MaxTokens: maxTokens, Previous: p.last, Retention: retention,
	}
	grant, err := beginUntil(service, turn)
	switch {
	case errors.Is(err, ledger.ErrBudgetSpent):
		p.checker.refuse()
		return false, true
	case errors.Is(err, ledger.ErrUnknownTurn):
		if p.checker.mustBeKept(p.last) {
			p.checker.violated("lost: turn %s names %q, which is not known", turn.ID, p.last)
		}
		return false, true
	case err != nil:
		return false, false
	}
	if want := p.checker.history(p.last); string(grant.History) != want {
		p.checker.violated("history: turn %s got %q, want %q", turn.ID, grant.History, want)
	}
	return p.answer(turn, daemon, run, service), false
}

// beginUntil requests the reservation as the relay does.
func beginUntil(service *ledger.Service, turn ledger.Turn) (ledger.Grant, error) {
	ctx, cancel := context.WithTimeout(context.Background(), beginTime)
	defer cancel()
	for {
		grant, err := service.Begin(ctx, turn)
		if !errors.Is(err, ledger.ErrUnavailable) {
			return grant, err
		}
		if ctx.Err() != nil {
			service.Abandon(turn)
			return grant, err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// answer runs the turn; its daemon may die meanwhile.
func (p *program) answer(turn ledger.Turn, daemon *simulatedDaemon, run uint64, service *ledger.Service) (done bool) {
	w := p.world
	used := int64(0)
	for used < maxTokens && w.isRunning(daemon, run) {
		time.Sleep(w.between(0, 40*time.Millisecond))
		used += maxTokens / 5
		p.checker.gave(p.id, p.budget, maxTokens/5)
		if w.chance(0.2) {
			break
		}
	}
	if !w.isRunning(daemon, run) {
		return false
	}
	outcome := ledger.Outcome{Turn: turn.ID, Program: p.id, Retention: retention, UsedTokens: used}
	if w.chance(0.1) { // the caller leaves before the end
		go settle(service, outcome, settleTime)
		return false
	}
	outcome.Kept = &ledger.KeptTurn{
		ID: turn.ID, Previous: turn.Previous, Input: []byte("<" + turn.ID), Output: []byte(">"),
	}
	if w.breakage == breakEarlyEnd {
		go settle(service, outcome, recordTime)
	} else if settle(service, outcome, recordTime) != nil || !w.isRunning(daemon, run) {
		return false
	}
	p.checker.complete(turn.ID, p.checker.history(p.last)+"<"+turn.ID+">")
	p.last = turn.ID
	return true
}

func settle(service *ledger.Service, outcome ledger.Outcome, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return service.End(ctx, outcome)
}

// forge tries a turn that continues from one that never existed.
func forge(w *world, c *checker, number int) {
	_, _, service := w.anyDaemon()
	if service == nil {
		return
	}
	turn := ledger.Turn{ID: fmt.Sprint("forged-", number), Program: fmt.Sprint("forger-", number), Previous: "none", Retention: retention}
	if _, err := beginUntil(service, turn); err == nil {
		c.violated("unasked: a turn was granted that continues from one that never existed")
	}
}

func (c *checker) String() string { return strings.Join(c.violations, "\n") }
