package onceonly

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func claimFor(attempt string) *Command {
	return &Command{Kind: KindClaim, TimeMillis: 1000, Claim: &Claim{
		Tenant: "tenant", Key: "key", MintedMillis: 1000, BodyHash: []byte("body"), AttemptID: attempt, Holder: "session",
	}}
}

func completeFor(attempt string) *Command {
	return &Command{Kind: KindComplete, Completion: &Completion{
		Tenant: "tenant", Key: "key", AttemptID: attempt, Answer: Answer{Status: 200, Body: []byte("label")},
	}}
}

func releaseFor(attempt string, notRun bool) *Command {
	return &Command{Kind: KindRelease, Release: &Release{Tenant: "tenant", Key: "key", AttemptID: attempt, NotRun: notRun}}
}

func TestTransitions(t *testing.T) {
	expire := &Command{Kind: KindExpireHolder, Holder: "session"}
	otherBody := claimFor("b")
	otherBody.Claim.BodyHash = []byte("other")
	late := DefaultParameters().RetentionMillis + 2000
	advance := &Command{Kind: KindAdvance, TimeMillis: late}
	claimTimeout := &Command{Kind: KindAdvance, TimeMillis: DefaultParameters().ClaimMillis + 2000}
	tooEarly := claimFor("a")
	tooEarly.Claim.MintedMillis = 1001 + DefaultParameters().FutureMillis

	cases := []struct {
		name     string
		commands []*Command
		want     Status
	}{
		{"a first claim is granted", []*Command{claimFor("a")}, StatusGranted},
		{"the holder's resend is granted again", []*Command{claimFor("a"), claimFor("a")}, StatusGranted},
		{"another attempt finds the claim in progress", []*Command{claimFor("a"), claimFor("b")}, StatusInProgress},
		{"another body is rejected", []*Command{claimFor("a"), otherBody}, StatusReused},
		{"an answer is stored", []*Command{claimFor("a"), completeFor("a"), claimFor("b")}, StatusAnswered},
		{"only the holder completes", []*Command{claimFor("a"), completeFor("b")}, StatusRefused},
		{"only the holder releases", []*Command{claimFor("a"), releaseFor("b", true)}, StatusRefused},
		{"a released key can be claimed", []*Command{claimFor("a"), releaseFor("a", true), claimFor("b")}, StatusGranted},
		{"a released attempt is not granted", []*Command{claimFor("a"), releaseFor("a", true), claimFor("a")}, StatusReleased},
		{"a release before its claim", []*Command{releaseFor("a", true), claimFor("a")}, StatusReleased},
		{"an earlier attempt's release is stored", []*Command{releaseFor("a", true), claimFor("b"), releaseFor("b", true), claimFor("a")}, StatusReleased},
		{"a release beside another's before its claim", []*Command{releaseFor("a", true), releaseFor("b", true), claimFor("b")}, StatusReleased},
		{"a release during another's claim", []*Command{claimFor("a"), releaseFor("b", true), releaseFor("a", true), claimFor("b")}, StatusReleased},
		{"an expired holder's claim is unknown", []*Command{claimFor("a"), expire, claimFor("b")}, StatusUnknown},
		{"unknown is not released", []*Command{claimFor("a"), expire, releaseFor("a", true)}, StatusRefused},
		{"a late answer of an unknown claim is stored", []*Command{claimFor("a"), expire, completeFor("a"), claimFor("b")}, StatusAnswered},
		{"a claim held for too long is unknown", []*Command{claimFor("a"), claimTimeout, claimFor("b")}, StatusUnknown},
		{"a key minted before the horizon is rejected", []*Command{claimFor("a"), advance, claimFor("b")}, StatusExpired},
		{"a key minted too far ahead is rejected", []*Command{tooEarly}, StatusInvalid},
		{"a refounded table rejects earlier keys", []*Command{{Kind: KindRefound, TimeMillis: 1000}, claimFor("a")}, StatusExpired},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			table := New()
			var reply Reply
			for _, command := range test.commands {
				reply = table.Step(command)
			}
			require.Equal(t, test.want, reply.Status)
		})
	}
}

func TestBounds(t *testing.T) {
	table := New()
	parameters := DefaultParameters()
	parameters.Entries = 2
	parameters.TotalAnswerBytes = 8
	table.Step(&Command{Kind: KindConfigure, Parameters: &parameters})
	for _, key := range []string{"first", "second"} {
		claim := claimFor(key)
		claim.Claim.Key = key
		require.Equal(t, StatusGranted, table.Step(claim).Status)
		complete := completeFor(key)
		complete.Completion.Key = key
		require.Equal(t, StatusDone, table.Step(complete).Status)
	}
	third := claimFor("third")
	third.Claim.Key = "third"
	require.Equal(t, StatusFull, table.Step(third).Status)

	// The older answer was dropped, but its key can't be claimed again.
	again := claimFor("again")
	again.Claim.Key = "first"
	require.Equal(t, StatusUnknown, table.Step(again).Status)
	again.Claim.Key = "second"
	require.Equal(t, StatusAnswered, table.Step(again).Status)
}

func TestParseKey(t *testing.T) {
	isZone := func(name string) bool { return name == "hal-noord" || name == "hal-zuid" }
	const timed = "01910b2e-8c00-7000-8000-000000000001"
	cases := []struct {
		text string
		want Key
		err  error
	}{
		{"order-17", Key{Zone: "hal-noord", Rest: "order-17", Opaque: true}, nil},
		{"hal-zuid~order-17", Key{Zone: "hal-zuid", Rest: "order-17", Opaque: true}, nil},
		{timed, Key{Zone: "hal-noord", Rest: timed, MintedMillis: 0x01910b2e8c00}, nil},
		{"hal-zuid~01910B2E-8C00-7000-8000-000000000001", Key{Zone: "hal-zuid", Rest: timed, MintedMillis: 0x01910b2e8c00}, nil},
		{"01910b2e-8c00-4000-8000-000000000001", Key{Zone: "hal-noord", Rest: "01910b2e-8c00-4000-8000-000000000001", Opaque: true}, nil},
		{"", Key{}, ErrKeyEmpty},
		{"hal-zuid~", Key{}, ErrKeyEmpty},
		{"elsewhere~order-17", Key{}, ErrKeyZone},
		{"order 17", Key{}, ErrKeyCharacters},
		{strings.Repeat("k", 200), Key{Zone: "hal-noord", Rest: strings.Repeat("k", 200), Opaque: true}, nil},
		{"hal-zuid~" + strings.Repeat("k", 200), Key{Zone: "hal-zuid", Rest: strings.Repeat("k", 200), Opaque: true}, nil},
		{strings.Repeat("k", 201), Key{}, ErrKeyTooLong},
		{strings.Repeat("k", 513), Key{}, ErrKeyTooLong},
	}
	for _, test := range cases {
		got, err := ParseKey(test.text, "hal-noord", isZone)
		require.ErrorIs(t, err, test.err, "%q", test.text)
		require.Equal(t, test.want, got, "%q", test.text)
	}
}

func FuzzApply(f *testing.F) {
	for _, command := range []*Command{claimFor("a"), completeFor("a"), releaseFor("a", true), {Kind: KindRefound}} {
		data, err := command.Encode()
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		table := New()
		_, err := DecodeReply(table.Apply(1, data))
		require.NoError(t, err)
		snapshot, err := table.Snapshot()
		require.NoError(t, err)
		require.NoError(t, New().Restore(snapshot))
		_ = New().Restore(data)
	})
}

func FuzzParseKey(f *testing.F) {
	f.Add("hal-zuid~01910b2e-8c00-7000-8000-000000000001")
	f.Fuzz(func(t *testing.T, text string) {
		key, err := ParseKey(text, "hal-noord", func(name string) bool { return name == "hal-noord" })
		if err != nil {
			return
		}
		again, err := ParseKey(key.Zone+zoneSeparator+key.Rest, "elsewhere", func(string) bool { return true })
		require.NoError(t, err)
		require.Equal(t, key, again)
	})
}
