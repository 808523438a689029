package handler

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/gateway/middleware"
)

// Models lists the models of the configuration in force.
type Models struct{}

// NewModels returns the handler.
func NewModels() *Models { return &Models{} }

// owner is what the OpenAI interface's owned_by says.
const owner = "pierhaven"

// Handle serves callerapi.PathModels.
func (h *Models) Handle(_ context.Context, call *app.RequestContext) {
	snapshot := middleware.ScopeOf(call).Configuration.Snapshot()
	list := callerapi.ModelList{Object: callerapi.ObjectList, Data: []callerapi.ModelCard{}}
	for _, model := range snapshot.Models {
		list.Data = append(list.Data, callerapi.ModelCard{ID: model.Name, Object: callerapi.ObjectModel, OwnedBy: owner})
	}
	call.JSON(http.StatusOK, list)
}
