package handler

import (
	"context"
	"net/http"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/gateway/batch"
	"github.com/pierhaven/pierhaven/internal/gateway/middleware"
)

// Batches serves callerapi.PathBatches.
type Batches struct {
	store        *batch.Store
	gatewayID    string
	maximumItems int
}

// NewBatches returns the handlers.
func NewBatches(store *batch.Store, gatewayID string, maximumItems int) *Batches {
	return &Batches{store: store, gatewayID: gatewayID, maximumItems: maximumItems}
}

// Submit takes a batch.
func (h *Batches) Submit(_ context.Context, call *app.RequestContext) {
	request, err := callerapi.DecodeBatch(call.Request.Body(), h.maximumItems)
	if err != nil {
		middleware.Refuse(call, failure.Wrap(err, failure.MalformedRequest))
		return
	}
	owner := batch.Owner{
		Scope:         *middleware.ScopeOf(call),
		Authorization: string(call.GetHeader(callerapi.HeaderAuthorization)),
	}
	taken, err := h.store.Submit(owner, request.Items)
	if err != nil {
		middleware.Refuse(call, err)
		return
	}
	call.JSON(http.StatusAccepted, taken.Progress(h.gatewayID))
}

// Progress tells how far a batch is.
func (h *Batches) Progress(_ context.Context, call *app.RequestContext) {
	if found := h.find(call); found != nil {
		call.JSON(http.StatusOK, found.Progress(h.gatewayID))
	}
}

// Results returns a page of results.
func (h *Batches) Results(_ context.Context, call *app.RequestContext) {
	found := h.find(call)
	if found == nil {
		return
	}
	after, err := queryNumber(call, "after", 0)
	if err != nil {
		middleware.Refuse(call, err)
		return
	}
	limit, err := queryNumber(call, "limit", callerapi.MaximumResultsPage)
	if err != nil {
		middleware.Refuse(call, err)
		return
	}
	call.JSON(http.StatusOK, found.Results(after, min(max(limit, 1), callerapi.MaximumResultsPage)))
}

// Delete cancels a batch that runs, or removes one that is finished.
func (h *Batches) Delete(_ context.Context, call *app.RequestContext) {
	if found := h.find(call); found != nil {
		h.store.Delete(found)
		call.JSON(http.StatusOK, found.Progress(h.gatewayID))
	}
}

func (h *Batches) find(call *app.RequestContext) *batch.Batch {
	found, err := h.store.Find(middleware.ScopeOf(call).Tenant.Name, call.Param("id"))
	if err != nil {
		middleware.Refuse(call, err)
		return nil
	}
	return found
}

func queryNumber(call *app.RequestContext, name string, fallback int) (int, error) {
	text := call.Query(name)
	if text == "" {
		return fallback, nil
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 0 {
		return 0, failure.New(failure.MalformedRequest, name+": not a number from 0 on")
	}
	return number, nil
}
