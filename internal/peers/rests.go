package peers

import (
	"net/netip"
	"time"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/region"
)

// restTeller tells peers of the replicas that turn this process's requests away: at once when there is one
// more, and again for as long as there is any, since datagrams are lost.
type restTeller struct {
	// revision is that of the Directory's rests last told.
	revision uint64
	// againAt is when they are told again, zero if there are none.
	againAt time.Time
}

func (r *restTeller) step(t *teller, now time.Time, near []netip.AddrPort) {
	revision := t.peers.directory.BackoffRevision()
	if revision == r.revision && (r.againAt.IsZero() || now.Before(r.againAt)) {
		return
	}
	r.revision, r.againAt = revision, time.Time{}
	resting := t.peers.directory.Resting()
	if len(resting) == 0 {
		return
	}
	r.againAt = now.Add(wholeInterval)
	message := &region.Resting{Gateway: t.peers.name, Replicas: resting}
	taken := t.peers.socket.Send(datagram.KindResting, message, near[:min(len(near), Maximum)]...)
	t.allowance -= float64(taken)
	t.peers.count(Counts{OwnRegion: uint64(taken)})
}

// receiveResting takes what a peer tells of replicas that turn its requests away.
func (p *Peers) receiveResting(_ netip.AddrPort, payload []byte) error {
	var message region.Resting
	if _, err := message.UnmarshalMsg(payload); err != nil {
		return err
	}
	p.directory.ApplyBackoffs(message.Replicas)
	return nil
}
