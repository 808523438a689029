package origin

import (
	"sync"
	"time"
)

// MaximumQueriedServices bounds the services of a query.
const MaximumQueriedServices = 64

// Keeper keeps the records that gateways send, and answers their queries. It is safe for concurrent use.
type Keeper struct {
	// Recent returns what services run and have run within Window.
	Recent func(services []string) []ServiceVersions

	mutex  sync.Mutex
	table  Table
	counts Counts
}

// Counts counts what a Keeper has and was asked.
type Counts struct {
	// Kept is the number of records, Dropped of those that gave way before their time.
	Kept    int
	Dropped uint64
	// Queries counts the queries, Found those for which there was a record.
	Queries, Found uint64
}

// NewKeeper returns a Keeper of at most a number of records.
func NewKeeper(maximum int, recent func(services []string) []ServiceVersions) *Keeper {
	return &Keeper{Recent: recent, table: Table{Maximum: maximum}}
}

// Handle keeps the records of a message and returns the reply to its query, nil if it has none.
func (k *Keeper) Handle(now time.Duration, message *Message) *Reply {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, record := range message.Records {
		k.table.Put(now, record)
	}
	query := message.Query
	if query == nil {
		return nil
	}
	k.counts.Queries++
	if record, age := k.table.Get(now, query.Key); record != nil {
		k.counts.Found++
		return &Reply{ID: query.ID, Record: record, AgeMillis: age.Milliseconds()}
	}
	return &Reply{ID: query.ID, Recent: k.Recent(query.Services[:min(len(query.Services), MaximumQueriedServices)])}
}

// Counts returns the counts.
func (k *Keeper) Counts() Counts {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	counts := k.counts
	counts.Kept, counts.Dropped = k.table.Count()
	return counts
}
