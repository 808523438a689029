package wire

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"
	"pgregory.net/rapid"
)

type message interface {
	msgp.Marshaler
	msgp.Unmarshaler
	msgp.Sizer
}

// canonical encodes a message without the difference between empty and absent
// lists, which the encoding does not preserve.
func canonical(t require.TestingT, value any) string {
	text, err := json.Marshal(value)
	require.NoError(t, err)
	return strings.NewReplacer(`[]`, `null`, `""`, `null`).Replace(string(text))
}

// checkMessage checks that random messages of a type survive encoding and
// decoding unchanged, and that each truncated one is rejected.
func checkMessage[T any, P interface {
	*T
	message
}](t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.Make[T]().Draw(t, "message")
		data, err := P(&sent).MarshalMsg(nil)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), P(&sent).Msgsize())
		var got T
		rest, err := P(&got).UnmarshalMsg(data)
		require.NoError(t, err)
		require.Empty(t, rest)
		require.Equal(t, canonical(t, &sent), canonical(t, &got))
		var truncated T
		_, err = P(&truncated).UnmarshalMsg(data[:rapid.IntRange(0, len(data)-1).Draw(t, "length")])
		require.Error(t, err)
	})
}

func TestMessagesRoundTrip(t *testing.T) {
	t.Run("open session", checkMessage[OpenSessionRequest])
	t.Run("open session reply", checkMessage[OpenSessionReply])
	t.Run("heartbeat", checkMessage[HeartbeatRequest])
	t.Run("heartbeat reply", checkMessage[HeartbeatReply])
	t.Run("close session", checkMessage[CloseSessionRequest])
	t.Run("watch", checkMessage[WatchRequest])
	t.Run("watch reply", checkMessage[WatchReply])
	t.Run("config pull", checkMessage[ConfigPullRequest])
	t.Run("config pull reply", checkMessage[ConfigPullReply])
	t.Run("claim", checkMessage[ClaimRequest])
	t.Run("claim reply", checkMessage[ClaimReply])
	t.Run("complete", checkMessage[CompleteRequest])
	t.Run("complete reply", checkMessage[CompleteReply])
	t.Run("release", checkMessage[ReleaseRequest])
	t.Run("release reply", checkMessage[ReleaseReply])
	t.Run("error", checkMessage[ErrorReply])
}

// TestClaimedLengthsAreBounded decodes messages of a few bytes that claim to
// hold billions of rows: decoding must not allocate memory for them.
func TestClaimedLengthsAreBounded(t *testing.T) {
	cases := []struct {
		field  string
		target message
	}{
		{"engines", &View{}}, {"back_ends", &View{}}, {"engines", &IsolationView{}},
		{"adapters", &EngineView{}}, {"applications", &BackEndView{}}, {"demand", &HeartbeatRequest{}},
		{"usage", &HeartbeatRequest{}}, {"shares", &HeartbeatReply{}},
	}
	for _, test := range cases {
		field, target := test.field, test.target
		data := append([]byte{0x81, 0xa0 | byte(len(field))}, field...)
		data = append(data, 0xdd, 0x7f, 0xff, 0xff, 0xff)
		_, err := target.UnmarshalMsg(data)
		require.ErrorAs(t, err, new(msgp.ErrLimitExceeded), field)
	}
}
