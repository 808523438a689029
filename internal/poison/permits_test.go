package poison_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/poison"
)

// A request on probation crashed four more replicas after its third: ten seconds later, its caller sent
// it again through several gateways at once. Each gateway could send it once a call, and none knew that
// another had.
func TestProbationPermitIsGivenToOneGatewayAtATime(t *testing.T) {
	const contact = 3 * time.Second
	permits := poison.NewPermits()
	digest, other := poison.Content{Body: []byte("a")}.Digest(), poison.Content{Body: []byte("b")}.Digest()
	assert.Zero(t, permits.Acquire(time.Second, contact, digest))
	assert.Equal(t, 2*time.Second, permits.Acquire(2*time.Second, contact, digest))
	assert.Zero(t, permits.Acquire(2*time.Second, contact, other))
	assert.Zero(t, permits.Acquire(4*time.Second, contact, digest))
}
