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

	"github.com/pierhaven/pierhaven/internal/failure"
)

const (
	// coordinatorTimeout bounds a call, longer than a coordinator takes to reach the leader.
	coordinatorTimeout = 5 * time.Second
	// maximumCoordinatorBytes bounds an answer: 10,000 tenants with 300 bytes each.
	maximumCoordinatorBytes = 4 << 20
)

func coordinatorFlag(command *cobra.Command, address *string) {
	command.Flags().StringVar(address, "coordinator", "", "a coordinator's address for operators, IP:port")
}

// callCoordinator makes a call at a coordinator's address for operators.
func callCoordinator(ctx context.Context, method, address, path string, result any) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return invalidError{fmt.Sprintf("--coordinator must be IP:port, not %q", address)}
	}
	ctx, cancel := context.WithTimeout(ctx, coordinatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return failure.Wrap(err, failure.NoQuorum)
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maximumCoordinatorBytes))
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
