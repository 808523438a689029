package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/upstream"
)

// TestAnAbandonedExchangeIsResetIfAskedFor has a peer that never answers.
func TestAnAbandonedExchangeIsResetIfAskedFor(t *testing.T) {
	for _, resets := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = listener.Close() }()
		ended := make(chan error, 1)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				ended <- err
				return
			}
			_, err = io.Copy(io.Discard, conn)
			ended <- err
		}()
		client := upstream.NewClient(upstream.Options{DialTimeout: time.Second, ResetAbandoned: resets})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, err = client.Do(ctx, &upstream.Request{Address: listener.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h"})
		cancel()
		require.Error(t, err)
		if resets {
			assert.ErrorIs(t, <-ended, syscall.ECONNRESET)
			continue
		}
		assert.NoError(t, <-ended)
	}
}
