package daemon

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/origin"
)

const (
	// originTimeoutFraction is the fraction of the contact time to wait for coordinators, and originAttempts how often they
	// are asked meanwhile, since datagrams are lost.
	originTimeoutFraction = 0.05
	originAttempts        = 2
	// originOthersFraction is the fraction of that time to wait for the others once one coordinator has the record: one may
	// have a newer record.
	originOthersFraction = 0.2
	// originWaitFraction is the fraction of the contact time for which coordinators are asked that can't tell yet: they have
	// a leader by then. 1/originWaitDivisor of the caller's wait bounds it too.
	originWaitFraction = 0.5
	originWaitDivisor  = 2
	originRetryPause   = 50 * time.Millisecond
)

// keeperReply is the reply of a coordinator.
type keeperReply struct {
	origin.Reply
	from string
}

// newest returns the reply with the record of the latest attempt, nil if none has a record. It is ambiguous if there are
// records of calls with the same ID at different origins.
func newest(replies []keeperReply) *keeperReply {
	var best *keeperReply
	ambiguous := false
	for index := range replies {
		reply := &replies[index]
		if reply.Record == nil {
			continue
		}
		if reply.Record.Ambiguous || best != nil && best.Record.Call != reply.Record.Call && best.Record.Origin != reply.Record.Origin {
			ambiguous = true
		}
		if best == nil || reply.Record.Attempt > best.Record.Attempt {
			best = reply
		}
	}
	if best != nil && ambiguous {
		best.Record.Ambiguous = true
	}
	return best
}

// narrowed returns at what software streams of services may have begun, as this gateway and coordinators know it. What one of
// them knows completely holds by itself, so that what another one counts beyond it is left out.
func narrowed(recent []origin.ServiceVersions, replies []keeperReply) []origin.ServiceVersions {
	all := slices.Clone(recent)
	for _, reply := range replies {
		for _, told := range reply.Recent {
			at := slices.IndexFunc(all, func(each origin.ServiceVersions) bool { return each.Service == told.Service })
			if at < 0 || !told.Complete {
				continue
			}
			if !all[at].Complete {
				all[at] = told
				continue
			}
			all[at].Software = slices.DeleteFunc(slices.Clone(all[at].Software), func(each origin.Software) bool {
				return !slices.Contains(told.Software, each)
			})
		}
	}
	return all
}

// merged returns what services have run recently, as this gateway and coordinators know it, where no leases on lists are kept.
// What one of them knows completely is complete: the others may have started later.
func merged(recent []origin.ServiceVersions, replies []keeperReply) []origin.ServiceVersions {
	all := slices.Clone(recent)
	for index := range all {
		all[index].Software = slices.Clone(all[index].Software)
	}
	for _, reply := range replies {
		for _, told := range reply.Recent {
			at := slices.IndexFunc(all, func(each origin.ServiceVersions) bool { return each.Service == told.Service })
			if at < 0 {
				continue
			}
			all[at].Complete = all[at].Complete || told.Complete
			for _, software := range told.Software {
				if !slices.Contains(all[at].Software, software) {
					all[at].Software = append(all[at].Software, software)
				}
			}
		}
	}
	return all
}

// anyTells reports whether a coordinator has a record, or knows at what software of all services streams may have begun.
func anyTells(replies []keeperReply) bool {
	return slices.ContainsFunc(replies, func(each keeperReply) bool {
		isIncomplete := func(told origin.ServiceVersions) bool { return !told.Complete }
		return each.Record != nil || len(each.Recent) > 0 && !slices.ContainsFunc(each.Recent, isIncomplete)
	})
}

// ask asks the coordinators that may keep the record of a key, and returns the replies of those that answer in time.
func (o *originClient) ask(ctx context.Context, key origin.Key, recent []origin.ServiceVersions) []keeperReply {
	keepers := o.keepers(key, originAsked)
	answers := make(chan keeperReply, originAsked*originAttempts)
	query := &origin.Query{ID: o.await(answers), Key: key}
	defer o.endWait(query.ID)
	for _, each := range recent {
		query.Services = append(query.Services, each.Service)
	}
	message := &origin.Message{Query: query}
	o.socket.Send(datagram.KindOrigin, message, keepers...)
	timeout := time.Duration(originTimeoutFraction * float64(o.settings.ContactTime))
	deadline, again := time.NewTimer(timeout), time.NewTimer(timeout/originAttempts)
	defer deadline.Stop()
	defer again.Stop()
	var replies []keeperReply
	for len(replies) < len(keepers) {
		select {
		case reply := <-answers:
			if slices.ContainsFunc(replies, func(each keeperReply) bool { return each.from == reply.from }) {
				continue
			}
			replies = append(replies, reply)
			if reply.Record != nil {
				deadline.Reset(time.Duration(originOthersFraction * float64(timeout)))
			}
		case <-again.C:
			o.socket.Send(datagram.KindOrigin, message, keepers...)
		case <-deadline.C:
			return replies
		case <-ctx.Done():
			return replies
		}
	}
	return replies
}

// await returns the ID of a query whose replies are to be sent to answers.
func (o *originClient) await(answers chan<- keeperReply) uint64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.lastID++
	o.pending[o.lastID] = answers
	return o.lastID
}

func (o *originClient) endWait(id uint64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.pending, id)
}

// receive handles the reply of a coordinator. One that is not awaited is dropped.
func (o *originClient) receive(from netip.AddrPort, payload []byte) error {
	var reply origin.Reply
	if _, err := reply.UnmarshalMsg(payload); err != nil {
		return err
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	select {
	case o.pending[reply.ID] <- keeperReply{Reply: reply, from: from.String()}:
	default:
	}
	return nil
}
