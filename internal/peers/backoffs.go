package peers

import (
	"net/netip"
	"time"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/region"
)

// backoffSender reports to peers the replicas that reject this process's requests: at once when
// there is another one, and repeatedly while there are any, since datagrams are lost.
type backoffSender struct {
	// revision is the revision of the Directory's backoffs that was last sent.
	revision uint64
	// resendAt is when they are sent again, zero if there are none.
	resendAt time.Time
}

func (b *backoffSender) step(parent *sender, now time.Time, near []netip.AddrPort) {
	revision := parent.peers.directory.BackoffRevision()
	if revision == b.revision && (b.resendAt.IsZero() || now.Before(b.resendAt)) {
		return
	}
	b.revision, b.resendAt = revision, time.Time{}
	backoffs := parent.peers.directory.ReplicasInBackoff()
	if len(backoffs) == 0 {
		return
	}
	b.resendAt = now.Add(fullInterval)
	message := &region.BackoffReport{Gateway: parent.peers.name, Replicas: backoffs}
	sent := parent.peers.socket.Send(datagram.KindBackoffReport, message, near[:min(len(near), MaximumWorkPeers)]...)
	parent.allowance -= float64(sent)
	parent.peers.count(Counts{OwnRegion: uint64(sent)})
}

// receiveBackoffs handles a peer's report of replicas that reject its requests.
func (p *Peers) receiveBackoffs(_ netip.AddrPort, payload []byte) error {
	var message region.BackoffReport
	if _, err := message.UnmarshalMsg(payload); err != nil {
		return err
	}
	p.directory.ApplyBackoffs(message.Replicas)
	return nil
}
