package operatorapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/pierhaven/pierhaven/internal/failure"
)

const bearerPrefix = "Bearer "

// HashToken returns the hash of an operator's token as the settings keep it.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// authenticate refuses callers whose token has none of the hashes. Every hash
// is compared, in constant time.
func authenticate(hashes []string, refuse func(call *app.RequestContext, err error)) app.HandlerFunc {
	return func(_ context.Context, call *app.RequestContext) {
		if len(hashes) == 0 {
			return
		}
		token, found := strings.CutPrefix(string(call.GetHeader("Authorization")), bearerPrefix)
		offered := []byte(HashToken(token))
		matches := 0
		for _, hash := range hashes {
			matches |= subtle.ConstantTimeCompare(offered, []byte(strings.ToLower(hash)))
		}
		if !found || matches == 0 {
			refuse(call, failure.New(failure.Unauthenticated, "the operator's token is missing or not known"))
		}
	}
}
