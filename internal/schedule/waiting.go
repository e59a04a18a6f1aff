package schedule

import (
	"cmp"
	"time"

	"github.com/google/btree"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// treeDegree is the fan-out of the trees that order waiting calls.
const treeDegree = 16

// waitingItem is a call in the queue.
type waitingItem struct {
	*Item
	outlook Outlook
	account *tenantAccount
	// due orders a tenant's calls; sequence breaks ties by arrival.
	due      float64
	sequence uint64
	// neededTokens is the memory the call needs while it runs.
	neededTokens int64
	// bestHitTokens is the longest part of the prompt that any engine was
	// assumed to hold when the call arrived.
	bestHitTokens int64
	preferred     *EngineView
	// program is the remembered state of the call's program.
	program *programState
}

func itemLess(a, b *waitingItem) bool {
	if a.due != b.due {
		return a.due < b.due
	}
	return a.sequence < b.sequence
}

// itemTree orders waiting calls by due time.
type itemTree struct {
	*btree.BTreeG[*waitingItem]
}

func newItemTree() *itemTree {
	return &itemTree{btree.NewG(treeDegree, itemLess)}
}

// classKey identifies calls that the same engines can serve.
type classKey struct {
	model   structs.ModelName
	adapter structs.AdapterName
}

func (k classKey) compare(other classKey) int {
	return cmp.Or(cmp.Compare(k.model, other.model), cmp.Compare(k.adapter, other.adapter))
}

// class holds the waiting calls for one model and adapter.
type class struct {
	key     classKey
	tenants map[structs.TenantName]*tenantQueue
	// order holds tenants with waiting calls, by the due time of their first.
	order *btree.BTreeG[*tenantQueue]
	count int
	// cursors is scratch space of first.
	cursors []cursor
}

// tenantQueue holds a tenant's waiting calls of a class.
type tenantQueue struct {
	tenant  *tenantAccount
	items   *itemTree
	due     float64
	ordered bool
}

func tenantLess(a, b *tenantQueue) bool {
	if a.due != b.due {
		return a.due < b.due
	}
	return a.tenant.name < b.tenant.name
}

func newClass(key classKey) *class {
	return &class{
		key:     key,
		tenants: map[structs.TenantName]*tenantQueue{},
		order:   btree.NewG(treeDegree, tenantLess),
	}
}

func (c *class) queue(account *tenantAccount) *tenantQueue {
	known := c.tenants[account.name]
	if known == nil {
		known = &tenantQueue{tenant: account, items: newItemTree()}
		c.tenants[account.name] = known
	}
	return known
}

func (c *class) add(item *waitingItem, account *tenantAccount) {
	queue := c.queue(account)
	queue.items.ReplaceOrInsert(item)
	c.count++
	c.reorder(queue)
}

func (c *class) remove(item *waitingItem, account *tenantAccount) bool {
	queue := c.tenants[account.name]
	if queue == nil {
		return false
	}
	if _, found := queue.items.Delete(item); !found {
		return false
	}
	c.count--
	c.reorder(queue)
	return true
}

// reorder updates a tenant's position by its first call and its penalty.
func (c *class) reorder(queue *tenantQueue) {
	if queue.ordered {
		c.order.Delete(queue)
		queue.ordered = false
	}
	first, waiting := queue.items.Min()
	if !waiting {
		return
	}
	queue.due = first.due + queue.tenant.penalty
	queue.ordered = true
	c.order.ReplaceOrInsert(queue)
}

// first visits up to limit calls in order of due time plus tenant's penalty.
func (c *class) first(limit int, visit func(item *waitingItem, due float64) bool) {
	c.gatherCursors(limit)
	for range limit {
		best := -1
		for i := range c.cursors {
			if c.cursors[i].item != nil && (best < 0 || c.cursors[i].due() < c.cursors[best].due()) {
				best = i
			}
		}
		if best < 0 || !visit(c.cursors[best].item, c.cursors[best].due()) {
			return
		}
		c.cursors[best].advance()
	}
}

// cursor is a position in a tenant's queue.
type cursor struct {
	queue *tenantQueue
	item  *waitingItem
}

func (h *cursor) due() float64 { return h.item.due + h.queue.tenant.penalty }

// advance moves to the tenant's next call.
func (h *cursor) advance() {
	last := h.item
	h.item = nil
	h.queue.items.AscendGreaterOrEqual(last, func(item *waitingItem) bool {
		if item == last {
			return true
		}
		h.item = item
		return false
	})
}

func (c *class) gatherCursors(limit int) {
	c.cursors = c.cursors[:0]
	c.order.Ascend(func(queue *tenantQueue) bool {
		item, _ := queue.items.Min()
		c.cursors = append(c.cursors, cursor{queue: queue, item: item})
		return len(c.cursors) < limit
	})
}

// deadlineTree orders waiting calls by deadline.
type deadlineTree struct {
	*btree.BTreeG[*waitingItem]
}

func newDeadlineTree() *deadlineTree {
	return &deadlineTree{btree.NewG(treeDegree, func(a, b *waitingItem) bool {
		if !a.Deadline.Equal(b.Deadline) {
			return a.Deadline.Before(b.Deadline)
		}
		return a.sequence < b.sequence
	})}
}

// earliest returns the first deadline.
func (d *deadlineTree) earliest() (time.Time, bool) {
	first, found := d.Min()
	if !found {
		return time.Time{}, false
	}
	return first.Deadline, true
}
