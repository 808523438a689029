package admission

import "github.com/google/btree"

// btreeDegree is a common degree for small items.
const btreeDegree = 16

// tenantQueue holds one tenant's items of one priority, ordered by rank and
// arrival.
type tenantQueue struct {
	name   string
	weight float64
	cost   float64
	items  *btree.BTreeG[*Item]
}

func newTenantQueue(name string, weight float64) *tenantQueue {
	return &tenantQueue{name: name, weight: weight, items: btree.NewG(btreeDegree, rankLess)}
}

func rankLess(a, b *Item) bool {
	if a.Rank != b.Rank {
		return a.Rank > b.Rank
	}
	return a.sequence < b.sequence
}

func (t *tenantQueue) add(item *Item) {
	t.items.ReplaceOrInsert(item)
	t.cost += item.Cost
	t.weight = item.weight()
}

func (t *tenantQueue) remove(item *Item) bool {
	if _, found := t.items.Delete(item); !found {
		return false
	}
	t.cost = max(0, t.cost-item.Cost)
	return true
}

// costBefore returns the cost of the tenant's items that are served before one.
func (t *tenantQueue) costBefore(item *Item) float64 {
	before := 0.0
	t.items.AscendLessThan(item, func(other *Item) bool {
		before += other.Cost
		return true
	})
	return before
}

// priorityLevel holds the queues of all tenants with items of one priority.
type priorityLevel struct {
	priority int
	cost     float64
	tenants  map[string]*tenantQueue
}

func newPriorityLevel(priority int) *priorityLevel {
	return &priorityLevel{priority: priority, tenants: make(map[string]*tenantQueue)}
}

func (l *priorityLevel) add(item *Item) {
	tenant, found := l.tenants[item.Tenant]
	if !found {
		tenant = newTenantQueue(item.Tenant, item.weight())
		l.tenants[item.Tenant] = tenant
	}
	tenant.add(item)
	l.cost += item.Cost
}

func (l *priorityLevel) remove(item *Item) {
	tenant, found := l.tenants[item.Tenant]
	if !found || !tenant.remove(item) {
		return
	}
	l.cost = max(0, l.cost-item.Cost)
	if tenant.items.Len() == 0 {
		delete(l.tenants, item.Tenant)
	}
}

func (l *priorityLevel) totalWeight() float64 {
	total := 0.0
	for _, tenant := range l.tenants {
		total += tenant.weight
	}
	return total
}
