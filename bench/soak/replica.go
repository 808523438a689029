package soak

import (
	"fmt"
	"time"
)

// replicaProcess is a replica that requests may end. Each start is another incarnation at the same
// address.
type replicaProcess struct {
	// name is that of the proxy's destination.
	name, address, target string
	starts                int
	runs                  bool
	// keepsID says that each incarnation has the same id.
	keepsID bool
	// born and bornBefore are the moments of the last two starts.
	born, bornBefore time.Time
}

// formerListed is how long a life that has ended is still listed beside the next one.
const formerListed = time.Second

func replicaName(number int) string { return fmt.Sprintf("i-%d", number) }

// enginePrefix begins the names of the model replicas.
const enginePrefix = "e-"

func engineName(number int) string { return fmt.Sprint(enginePrefix, number) }

func (r *replicaProcess) instance() string {
	if r.keepsID {
		return r.name
	}
	return fmt.Sprintf("%s.%d", r.name, r.starts)
}

func (f *fleet) instanceOf(replica *replicaProcess) string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return replica.instance()
}

// startReplica starts the next incarnation of a replica.
func (f *fleet) startReplica(number int) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	replica := f.replicas[number]
	address, err := f.proxy.ListenTCP(replica.name, replica.address, replica.target)
	if err != nil {
		return err
	}
	replica.address = address
	replica.starts++
	replica.bornBefore, replica.born = replica.born, time.Now()
	replica.runs = true
	return nil
}

// endReplica ends a replica as a crash does, and reports whether it ran.
func (f *fleet) endReplica(number int) bool {
	f.mutex.Lock()
	replica := f.replicas[number]
	ran := replica.runs
	replica.runs = false
	f.mutex.Unlock()
	if ran {
		f.proxy.End(replica.name)
	}
	return ran
}
