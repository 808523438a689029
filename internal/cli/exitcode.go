package cli

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pierhaven/pierhaven/internal/config/static"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/policycheck"
)

// Exit codes; docs/operations/command-line.md lists them.
const (
	ExitOK = 0
	// ExitFailed is a failure that no other code describes.
	ExitFailed = 1
	// ExitUsage is a wrong command line.
	ExitUsage = 2
	// ExitInvalid is a file or document with problems; each is printed.
	ExitInvalid = 3
	// ExitRefused is a request that was understood and not carried out.
	ExitRefused = 4
	// ExitUnavailable is a request that no controller could carry out now; it
	// has had no effect and may be sent again.
	ExitUnavailable = 5
	// ExitUnknown is a change whose answer was lost; send it again with the
	// same request id.
	ExitUnknown = 6
	// ExitCut is a daemon's stop that cut work in flight.
	ExitCut = 7
	// ExitNotInForce is an accepted change that is not in force everywhere yet.
	ExitNotInForce = 8
)

// usageError is a wrong command line.
type usageError struct{ message string }

func (e usageError) Error() string { return e.message }

func usagef(format string, arguments ...any) error {
	return usageError{message: fmt.Sprintf(format, arguments...)}
}

// notInForceError is an accepted change that has not reached everyone.
type notInForceError struct{ message string }

func (e notInForceError) Error() string { return e.message }

// invalidError is a file with problems.
type invalidError struct{ message string }

func (e invalidError) Error() string { return e.message }

// exitCode returns the code that tells a script what an error means.
func exitCode(err error) int {
	var usage usageError
	var notInForce notInForceError
	var invalid invalidError
	var settingsProblems static.Problems
	var policyProblems policycheck.Problems
	var fileProblem policycheck.Problem
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &notInForce):
		return ExitNotInForce
	case errors.As(err, &invalid), errors.As(err, &settingsProblems), errors.As(err, &policyProblems), errors.As(err, &fileProblem):
		return ExitInvalid
	case errors.Is(err, lifecycle.ErrCut):
		return ExitCut
	}
	return exitCodeOfKind(err)
}

var exitCodes = map[failure.Kind]int{
	failure.InvalidDocument:       ExitInvalid,
	failure.MalformedRequest:      ExitInvalid,
	failure.BodyTooLarge:          ExitInvalid,
	failure.NotFound:              ExitRefused,
	failure.MethodNotAllowed:      ExitRefused,
	failure.Unauthenticated:       ExitRefused,
	failure.Forbidden:             ExitRefused,
	failure.RevisionConflict:      ExitRefused,
	failure.ChangeInProgress:      ExitRefused,
	failure.IdempotencyKeyReused:  ExitRefused,
	failure.IdempotencyKeyExpired: ExitRefused,
	failure.NoQuorum:              ExitUnavailable,
	failure.NotLeader:             ExitUnavailable,
	failure.NotReady:              ExitUnavailable,
	failure.Leaving:               ExitUnavailable,
	failure.OutcomeUnknown:        ExitUnknown,
}

func exitCodeOfKind(err error) int {
	if code, known := exitCodes[failure.KindOf(err)]; known {
		if code == ExitUnavailable && failure.AnswerFor(err).Ran != failure.RanNo {
			return ExitUnknown
		}
		return code
	}
	return ExitFailed
}

// describe renders an error as one line for each problem, each with the
// program's name in front.
func describe(err error) string {
	var text strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(err.Error()), "\n") {
		text.WriteString("pierhaven: ")
		text.WriteString(strings.TrimSpace(line))
		text.WriteByte('\n')
	}
	return text.String()
}
