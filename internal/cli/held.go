package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/coordinator"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/poison"
)

const (
	// heldTimeout bounds a call on held requests, longer than a coordinator takes to reach the
	// leader.
	heldTimeout = 5 * time.Second
	// maximumHeldBytes bounds an answer: of MaximumRecords with 200 bytes each.
	maximumHeldBytes = 1 << 20
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
		err := callHeld(ctx, http.MethodGet, address, "", &held)
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
		return callHeld(ctx, http.MethodDelete, address, "/"+digest.String(), &none)
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	return client.ReleaseRequest(ctx, digest)
}

func coordinatorFlag(command *cobra.Command, address *string) {
	command.Flags().StringVar(address, "coordinator", "", "a coordinator's address for operators, IP:port")
}

// callHeld makes a call on held requests at a coordinator.
func callHeld(ctx context.Context, method, address, suffix string, result any) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return invalidError{fmt.Sprintf("--coordinator must be IP:port, not %q", address)}
	}
	ctx, cancel := context.WithTimeout(ctx, heldTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+coordinator.PathHeldRequests+suffix, nil)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return failure.Wrap(err, failure.NoQuorum)
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maximumHeldBytes))
	if err != nil {
		return failure.Wrap(err, failure.AnswerBroken)
	}
	if answer.StatusCode == http.StatusOK {
		return json.Unmarshal(content, result)
	}
	var refused failure.Body
	if err := json.Unmarshal(content, &refused); err != nil {
		return fmt.Errorf("%s answers %d", address, answer.StatusCode)
	}
	return failure.New(refused.Error.Type, refused.Error.Message)
}

func heldTable(held []poison.Held) table {
	content := table{header: []string{"digest", "replicas ended", "first end", "last end", "held since"}}
	for _, each := range held {
		content.add(each.Digest, fmt.Sprint(each.Replicas), each.FirstEnd, each.LastEnd, each.Since)
	}
	return content
}
