package middleware_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/gateway/middleware"
)

func TestARequestWithTwoFramingsIsRefusedAndEndsItsConnection(t *testing.T) {
	call := app.NewContext(0)
	call.Request.Header.SetRawHeaders([]byte("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"))
	middleware.NewFraming().Handle(context.Background(), call)
	assert.True(t, call.IsAborted())
	assert.Equal(t, http.StatusBadRequest, call.Response.StatusCode())
	assert.True(t, call.Response.ConnectionClose())

	sound := app.NewContext(0)
	sound.Request.Header.SetRawHeaders([]byte("Host: h\r\nContent-Length: 5\r\n"))
	middleware.NewFraming().Handle(context.Background(), sound)
	assert.False(t, sound.IsAborted())
}
