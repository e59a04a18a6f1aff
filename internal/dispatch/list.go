package dispatch

import (
	"cmp"
	"slices"
	"sync"

	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// maximumListed bounds the programs in one answer.
const maximumListed = 10000

// receiveQuery handles a query of describe_messages.go, and reports whether the
// message is one.
func (c *Coordinator) receiveQuery(from structs.DaemonID, message peer.Message) bool {
	switch m := message.(type) {
	case *Describe:
		c.runOnLeader(m.Key,
			func(l *leader) { l.describe(from, m) },
			func(route replication.Route) { c.Transport.Send(from, &Described{Query: m.Query, Redirect: &route}) })
	case *EndProgram:
		c.runOnLeader(m.Key,
			func(l *leader) { l.endOnRequest(from, m) },
			func(route replication.Route) { c.Transport.Send(from, &ProgramEnded{Query: m.Query, Redirect: &route}) })
	case *CancelCall:
		c.runOnLeader(m.Key,
			func(l *leader) { l.cancelOnRequest(from, m) },
			func(route replication.Route) {
				c.Transport.Send(from, &CallCancelled{Query: m.Query, Redirect: &route})
			})
	case *List:
		c.list(from, m)
	default:
		return false
	}
	return true
}

// runOnLeader runs task on the shard's queue if this daemon leads the shard.
func (c *Coordinator) runOnLeader(key structs.ProgramKey, task func(*leader), redirect func(replication.Route)) {
	shard := c.Router.Shard(key)
	l := c.leader(shard)
	if l == nil {
		redirect(c.Router.Route(shard))
		return
	}
	l.queue.Do(func() {
		if l.stopped {
			redirect(c.Router.Route(shard))
			return
		}
		task(l)
	})
}

// list collects the summaries of all shards led by this daemon, one queue after
// another.
func (c *Coordinator) list(from structs.DaemonID, request *List) {
	leaders := c.leaders.All()
	collected := &listing{missing: len(leaders), answer: func(programs []ProgramSummary) {
		c.Transport.Send(from, listed(request, programs))
	}}
	if len(leaders) == 0 {
		collected.answer(nil)
		return
	}
	for _, l := range leaders {
		l.queue.Do(func() { collected.add(l.summaries(request.Tenant)) })
	}
}

func (l *leader) summaries(tenant structs.TenantName) []ProgramSummary {
	if l.stopped {
		return nil
	}
	var summaries []ProgramSummary
	for _, p := range l.machine.Programs() {
		if tenant == "" || p.Key.Tenant == tenant {
			summaries = append(summaries, l.summary(p))
		}
	}
	return summaries
}

// listing collects the shards' parts of a list.
type listing struct {
	mutex    sync.Mutex
	missing  int
	programs []ProgramSummary
	answer   func([]ProgramSummary)
}

func (g *listing) add(programs []ProgramSummary) {
	g.mutex.Lock()
	g.programs = append(g.programs, programs...)
	g.missing--
	complete := g.missing == 0
	g.mutex.Unlock()
	if complete {
		g.answer(g.programs)
	}
}

func listed(request *List, programs []ProgramSummary) *Listed {
	slices.SortFunc(programs, func(a, b ProgramSummary) int {
		return cmp.Or(
			compareEnded(a, b),
			b.StartedAt.Compare(a.StartedAt),
			cmp.Compare(a.Key.Tenant, b.Key.Tenant),
			cmp.Compare(a.Key.Program, b.Key.Program),
		)
	})
	limit := request.Limit
	if limit <= 0 || limit > maximumListed {
		limit = maximumListed
	}
	return &Listed{Query: request.Query, Total: len(programs), Programs: programs[:min(limit, len(programs))]}
}

func compareEnded(a, b ProgramSummary) int {
	switch {
	case a.Ended == b.Ended:
		return 0
	case a.Ended:
		return 1
	default:
		return -1
	}
}
