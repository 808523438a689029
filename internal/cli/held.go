package cli

import (
	"context"
	"fmt"
	"net/http"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/coordinator"
	"github.com/pierhaven/pierhaven/internal/poison"
)

// heldCommand shows the requests that are sent to no replica, since replicas have ended under
// them, and lets them go.
func (a *application) heldCommand() *cobra.Command {
	command := &cobra.Command{Use: "held", Short: "Requests of a region or a zone that are held, since replicas have ended under them"}
	command.AddCommand(a.heldListCommand(), a.heldReleaseCommand())
	return command
}

func (a *application) heldListCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:   "list",
		Short: "List the requests that are sent to no replica, those that were held last first",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			held, err := a.heldRequests(command.Context(), address)
			if err != nil {
				return err
			}
			return a.print(held, func() table { return heldTable(held) })
		},
	}
	coordinatorFlag(command, &address)
	return a.operatorCommand(command)
}

func (a *application) heldReleaseCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:   "release DIGEST",
		Short: "Let a request go: it is sent to replicas again, until it has ended as many as before it was held",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			digest, err := poison.ParseDigest(arguments[0])
			if err != nil {
				return invalidError{err.Error()}
			}
			return a.releaseHeld(command.Context(), address, digest)
		},
	}
	coordinatorFlag(command, &address)
	return a.operatorCommand(command)
}

// heldRequests asks a region's coordinator or, if none is named, the controllers of a zone.
func (a *application) heldRequests(ctx context.Context, address string) ([]poison.Held, error) {
	if address != "" {
		var held []poison.Held
		err := callCoordinator(ctx, http.MethodGet, address, coordinator.PathHeldRequests, &held)
		return held, err
	}
	client, err := a.client()
	if err != nil {
		return nil, err
	}
	list, err := client.HeldRequests(ctx)
	return list.Requests, err
}

// releaseHeld lets a request go at a region's coordinator or, if none is named, at the controllers
// of a zone.
func (a *application) releaseHeld(ctx context.Context, address string, digest poison.Digest) error {
	if address != "" {
		var none struct{}
		return callCoordinator(ctx, http.MethodDelete, address, coordinator.PathHeldRequests+"/"+digest.String(), &none)
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	return client.ReleaseRequest(ctx, digest)
}

func heldTable(held []poison.Held) table {
	content := table{header: []string{"digest", "replicas ended", "first end", "last end", "held since"}}
	for _, each := range held {
		content.add(each.Digest, fmt.Sprint(each.Replicas), each.FirstCrash, each.LastCrash, each.Since)
	}
	return content
}
