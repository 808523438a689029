package cli

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/config/static"
	"github.com/pierhaven/pierhaven/internal/failure"
)

// Variables of the environment that operators' commands read.
const (
	controllersVariable = static.EnvironmentPrefix + "CONTROLLERS"
	tokenVariable       = static.EnvironmentPrefix + "TOKEN"
)

// defaultController is where a controller on the operator's own machine is.
const defaultController = "127.0.0.1:7200"

// operatorFlags say which controllers to ask and as whom.
type operatorFlags struct {
	controllers []string
	tokenFile   string
	timeout     time.Duration
	requestID   string
	wait        time.Duration
}

// operatorCommand adds the flags of a command that asks the controllers.
func (a *application) operatorCommand(command *cobra.Command) *cobra.Command {
	flags := command.Flags()
	flags.StringSliceVar(&a.operator.controllers, "controllers", nil,
		"operators' addresses (IP:port) of controllers, tried in turn (default $"+controllersVariable+" or "+defaultController+")")
	flags.StringVar(&a.operator.tokenFile, "token-file", "", "file with the operator's token (default $"+tokenVariable+")")
	flags.DurationVar(&a.operator.timeout, "timeout", 0, "bound of one attempt (default 10s)")
	return command
}

// changeCommand adds the flags of a command that changes something.
func (a *application) changeCommand(command *cobra.Command) *cobra.Command {
	command.Flags().StringVar(&a.operator.requestID, "request-id", "",
		"id of this change; give the id of an earlier attempt to send it again (default a new one)")
	return a.operatorCommand(command)
}

// configurationCommand adds the flags of a command that changes the
// configuration.
func (a *application) configurationCommand(command *cobra.Command) *cobra.Command {
	command.Flags().DurationVar(&a.operator.wait, "wait", 0,
		"wait this long until the change is in force everywhere, and list who is missing")
	return a.changeCommand(command)
}

// client returns a client for the controllers that the flags name.
func (a *application) client() (*operatorapi.Client, error) {
	token, err := a.token()
	if err != nil {
		return nil, err
	}
	addresses := a.operator.controllers
	if len(addresses) == 0 {
		addresses = strings.FieldsFunc(a.streams.variable(controllersVariable), isSeparator)
	}
	if len(addresses) == 0 {
		addresses = []string{defaultController}
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, usagef("--controllers: bad address %q: must be IP:port", address)
		}
	}
	return operatorapi.NewClient(operatorapi.ClientOptions{
		Addresses: addresses, Token: token, Timeout: a.operator.timeout,
	})
}

// namesControllers reports whether the operator has named controllers, by flag
// or environment.
func (a *application) namesControllers() bool {
	return len(a.operator.controllers) > 0 || a.streams.variable(controllersVariable) != ""
}

func isSeparator(letter rune) bool { return letter == ',' || letter == ' ' }

func (a *application) token() (string, error) {
	if a.operator.tokenFile == "" {
		return a.streams.variable(tokenVariable), nil
	}
	content, err := os.ReadFile(a.operator.tokenFile)
	if err != nil {
		return "", usagef("--token-file: %v", err)
	}
	return strings.TrimSpace(string(content)), nil
}

// changeID returns the request id that the flags give, or a new one.
func (a *application) changeID() string {
	if a.operator.requestID == "" {
		a.operator.requestID = uuid.NewString()
	}
	return a.operator.requestID
}

// explainChange adds to a failed change what the operator can do next.
func (a *application) explainChange(err error) error {
	if err == nil {
		return nil
	}
	if exitCode(err) != ExitUnknown {
		return err
	}
	advice := fmt.Errorf("%w; the change may have been accepted: send it again with --request-id %s", err, a.operator.requestID)
	return failure.Wrap(advice, failure.OutcomeUnknown)
}

// explainRead words the failure of a question that no controller answered.
func explainRead(err error) error {
	if err == nil || exitCode(err) != ExitUnknown {
		return err
	}
	return failure.Wrap(fmt.Errorf("no controller answered: %w", err), failure.NotReady, failure.WithRan(failure.RanNo))
}
