package handler

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"

	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/gateway/middleware"
)

// zoneSeparator stands between a key's zone and the rest; see package onceonly.
const zoneSeparator = "~"

// Keys mints idempotency keys whose home zone is this gateway's.
type Keys struct {
	zone string
}

// NewKeys returns the handler.
func NewKeys(zone string) *Keys { return &Keys{zone: zone} }

// Handle serves callerapi.PathIdempotencyKeys.
func (h *Keys) Handle(_ context.Context, call *app.RequestContext) {
	request, err := callerapi.DecodeKeyRequest(call.Request.Body())
	if err != nil {
		middleware.Refuse(call, failure.Wrap(err, failure.MalformedRequest))
		return
	}
	keys := make([]string, request.Count)
	for index := range keys {
		minted, err := uuid.NewV7()
		if err != nil {
			middleware.Refuse(call, failure.Wrap(err, failure.Internal))
			return
		}
		keys[index] = h.zone + zoneSeparator + minted.String()
	}
	call.JSON(http.StatusOK, callerapi.KeyResponse{Keys: keys})
}
