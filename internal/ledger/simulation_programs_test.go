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
	// beginTime is what the relay gives a turn's reservation, and recordTime how
	// long a caller waits for the end of an answer.
	beginTime  = 1200 * time.Millisecond
	recordTime = 3200 * time.Millisecond
	settleTime = 20 * time.Second
	retention  = time.Minute
	// mostTokens is the most of one turn.
	mostTokens = 100
	// budgetExcess is by how much a program may pass its budget that began at a
	// holder which was lost before its record: half of one turn's most.
	budgetExcess = mostTokens / 2
	// turnTries is how often a program sends a turn.
	turnTries = 12
)

// checker notes what callers saw and what must not have been.
type checker struct {
	// excess is by how much programs may pass their budgets.
	excess     int64
	mutex      sync.Mutex
	violations []string
	tokens     map[string]int64
	// completed holds each turn that was answered whole.
	completed map[string]completedTurn
	ids       []string
	refused   int
}

// completedTurn is a turn that was answered whole: it is kept for retention.
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

// gave notes tokens that a caller got.
func (c *checker) gave(program string, budget, tokens int64) {
	c.mutex.Lock()
	c.tokens[program] += tokens
	total := c.tokens[program]
	c.mutex.Unlock()
	if total > budget+c.excess {
		c.violated("budget: program %s got %d tokens of %d", program, total, budget)
	}
}

// complete notes a turn that was answered whole.
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

// mustBeKept tells whether a turn that was answered whole is still promised.
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

// run sends turns one after another until the count is reached, the budget is
// spent or a turn fails for good.
func (p *program) run(turns int) {
	for range turns {
		if !p.turn() {
			return
		}
		time.Sleep(p.world.between(10*time.Millisecond, 200*time.Millisecond))
	}
}

// turn sends one turn until it is answered whole. False ends the program.
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

// try sends one turn once, by way of any daemon.
func (p *program) try() (done, over bool) {
	daemon, run, service := p.world.anyDaemon()
	if daemon == nil {
		return false, false
	}
	p.sent++
	turn := ledger.Turn{
		ID: fmt.Sprintf("%s-%d", p.id, p.sent), Program: p.id,
		BudgetTokens: p.budget, MaxTokens: mostTokens, Previous: p.last, Retention: retention,
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

// beginUntil asks for the reservation as the relay does.
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

// answer lets the turn run; its daemon may die meanwhile.
func (p *program) answer(turn ledger.Turn, daemon *simulatedDaemon, run uint64, service *ledger.Service) (done bool) {
	w := p.world
	used := int64(0)
	for used < mostTokens && w.isRunning(daemon, run) {
		time.Sleep(w.between(0, 40*time.Millisecond))
		used += mostTokens / 5
		p.checker.gave(p.id, p.budget, mostTokens/5)
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

// forge sends a turn that names one that never was.
func forge(w *world, c *checker, number int) {
	_, _, service := w.anyDaemon()
	if service == nil {
		return
	}
	turn := ledger.Turn{ID: fmt.Sprint("forged-", number), Program: fmt.Sprint("forger-", number), Previous: "none", Retention: retention}
	if _, err := beginUntil(service, turn); err == nil {
		c.violated("unasked: a turn was granted that goes on from one that never was")
	}
}

func (c *checker) String() string { return strings.Join(c.violations, "\n") }
