package tenant_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/tenant"
)

func TestKeysAreFoundByTheirDigests(t *testing.T) {
	var keys tenant.Keys[string]
	_, found := keys.Find([]byte("k"))
	assert.False(t, found, "there are none")
	keys.Add(tenant.DigestOf([]byte("k")), "depot")
	owner, found := keys.Find([]byte("k"))
	assert.True(t, found)
	assert.Equal(t, "depot", owner)
	_, found = keys.Find([]byte("K"))
	assert.False(t, found)
}

func TestBearerKeys(t *testing.T) {
	for authorization, key := range map[string]string{
		"Bearer abc": "abc", "bearer abc": "abc", "BEARER  abc ": "abc", "Bearer": "", "Bearer ": "", "": "", "Basic abc": "", "abc": "",
	} {
		assert.Equal(t, key, tenant.BearerKey(authorization), "%q", authorization)
	}
}
