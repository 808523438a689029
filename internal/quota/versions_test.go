package quota

import (
	"testing"

	"github.com/pierhaven/pierhaven/internal/recorded"
)

// samples returns the quota messages whose encoding by an earlier build is in testdata.
func samples() recorded.Samples {
	queries := []Query{{ID: 7, Account: "tenant", Units: 2.5, Rank: 1}}
	answers := []Answer{{ID: 7, Admitted: true, Level: -0.5, Rate: 3, WaitMicros: 250, Unsure: true, Never: true}}
	amounts := []Amount{{Account: "tenant", Units: -4}}
	return recorded.Samples{
		"gateway_message": &GatewayMessage{Queries: queries, Amounts: amounts},
		"gateway_reply":   &GatewayReply{Answers: answers, Mode: ModeHolding},
		"peer_message": &PeerMessage{
			From: "10.0.0.3:7380", Incarnation: 5, Holding: true, Time: 11, EchoIncarnation: 4, EchoTime: 10,
			Amounts: amounts, Queries: queries, Answers: answers,
		},
		"status": &Status{
			Address: "10.0.0.3:7380", Mode: ModeHolding, Holder: "10.0.0.3:7380", Parts: 2, Members: 3,
			Attached: []AttachedCoordinator{{Address: "10.0.0.4:7380", LeaseLeftS: 0.3}},
			Tenants:  []TenantStatus{{Tenant: "tenant", Rate: 3, Burst: 6, Level: -0.5, Admitted: 8, Refused: 9, WindowS: 8}},
		},
	}
}

func TestMessagesOfAnEarlierBuildAreRead(t *testing.T) { samples().Check(t) }

func FuzzMessages(f *testing.F) { samples().Fuzz(f) }
