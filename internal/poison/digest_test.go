package poison

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestContentsThatDifferInOneByteHaveDifferentDigests(t *testing.T) {
	content := Content{Caller: "a", Method: "POST", Host: "h", Target: "/t", Body: []byte("body")}
	digest := content.Digest()
	assert.Equal(t, digest, content.Digest())
	for _, change := range []func(*Content){
		func(c *Content) { c.Caller = "b" },
		func(c *Content) { c.Method = "PUT" },
		func(c *Content) { c.Host = "i" },
		func(c *Content) { c.Target = "/u" },
		func(c *Content) { c.Target = "/t?" },
		func(c *Content) { c.Body = []byte("bodz") },
		func(c *Content) { c.Body = nil },
		func(c *Content) { c.Caller, c.Method = "aP", "OST" },
		func(c *Content) { c.Target, c.Body = "/tb", []byte("ody") },
	} {
		other := content
		change(&other)
		assert.NotEqual(t, digest, other.Digest())
	}
}

func TestLongContentsThatDifferInTheirLastByteHaveDifferentDigests(t *testing.T) {
	long := make([]byte, 4<<20)
	digest := Content{Target: "/t", Body: long}.Digest()
	long[len(long)-1] = 1
	assert.NotEqual(t, digest, Content{Target: "/t", Body: long}.Digest())
	assert.NotEqual(t, digest, Content{Target: "/t", Body: long[:len(long)-1]}.Digest())
}

func TestDigestContainsTargetHashAndIsParsed(t *testing.T) {
	digest := Content{Host: "h", Target: "/t"}.Digest()
	assert.Equal(t, HashTarget("h", "/t"), digest.TargetHash())
	read, err := ParseDigest(digest.String())
	assert.NoError(t, err)
	assert.Equal(t, digest, read)
	for _, text := range []string{"", "00", digest.String() + "00", "x" + digest.String()[1:]} {
		_, err := ParseDigest(text)
		assert.Error(t, err, text)
	}
}

func TestTruncatedMessagesAreRejected(t *testing.T) {
	news := News{
		Revision: 3, Complete: true, Entries: []NewsEntry{{Digest: digestOf("a"), Held: true}}, Unwatched: digestsOf("b", "c"),
	}
	encoded, err := news.MarshalMsg(nil)
	assert.NoError(t, err)
	var read News
	_, err = read.UnmarshalMsg(encoded)
	assert.NoError(t, err)
	assert.Equal(t, news, read)
	for length := range encoded {
		_, err := new(News).UnmarshalMsg(encoded[:length])
		assert.Error(t, err, length)
	}
	_, err = new(Digest).UnmarshalMsg([]byte{0xc4, 1, 0})
	assert.Error(t, err)
}
