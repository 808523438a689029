package engine

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/bench/standin"
	"github.com/pierhaven/pierhaven/bench/truth"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// childVariable makes the test program an engine process of its own.
const childVariable = "PIERHAVEN_TEST_ENGINE_ARGUMENTS"

func TestMain(m *testing.M) {
	arguments, isChild := os.LookupEnv(childVariable)
	if !isChild {
		os.Exit(m.Run())
	}
	command := Command()
	command.SetArgs(strings.Fields(arguments))
	if err := command.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// engineProcess is an engine in a process of its own.
type engineProcess struct {
	command *exec.Cmd
	address string
	client  *standin.Client
}

func startProcess(t *testing.T, folder string) *engineProcess {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), childVariable+"="+
		fmt.Sprintf("--id e1 --model reader --version 1 --data %s/data --truth %s/truth", folder, folder))
	output, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	line, err := bufio.NewReader(output).ReadString('\n')
	require.NoError(t, err)
	fields := strings.Fields(line)
	client, err := standin.NewClient()
	require.NoError(t, err)
	return &engineProcess{command: command, address: fields[len(fields)-1], client: client}
}

func (p *engineProcess) order(t *testing.T, index uint64) engineapi.OrderReply {
	t.Helper()
	reply, err := p.tryOrder(index)
	require.NoError(t, err)
	return reply
}

func (p *engineProcess) tryOrder(index uint64) (reply engineapi.OrderReply, err error) {
	order := engineapi.Order{
		EngineID: "e1", Fence: engineapi.Fence{Generation: 3, Index: index},
		Target: engineapi.Configuration{Role: engineapi.RolePrefill, Model: "reader", Version: "2"},
	}
	err = p.client.Post(context.Background(), p.address, engineapi.PathOrder, order, &reply)
	return reply, err
}

func (p *engineProcess) kill(t *testing.T) {
	t.Helper()
	require.NoError(t, p.command.Process.Kill())
	require.Error(t, p.command.Wait())
}

func TestAKilledEngineKeepsFenceAndHalfDoneState(t *testing.T) {
	folder := t.TempDir()
	first := startProcess(t, folder)
	require.Equal(t, engineapi.OrderAccepted, first.order(t, 9).Status)
	first.kill(t)

	second := startProcess(t, folder)
	require.Equal(t, engineapi.OrderRefusedStale, second.order(t, 8).Status)
	reply := second.order(t, 9)
	require.Equal(t, engineapi.OrderFailed, reply.Status)
	require.Equal(t, engineapi.PhaseHalfDone, reply.State.Phase)
	require.Equal(t, engineapi.Configuration{Role: engineapi.RoleMixed}, reply.State.Observed)
	require.EqualValues(t, 2, reply.State.Incarnation)
	second.kill(t)

	third := startProcess(t, folder)
	require.Equal(t, engineapi.OrderAccepted, third.order(t, 10).Status)
	require.Eventually(t, func() bool { return third.order(t, 10).Status == engineapi.OrderDone }, patience, poll)
	third.kill(t)

	entries, _, err := truth.ReadFolder(folder + "/truth")
	require.NoError(t, err)
	checker := truth.NewChecker(truth.DefaultParameters())
	checker.Add(entries...)
	report := checker.Report()
	require.True(t, report.Clean(), "%v", report.Examples)
	require.Equal(t, 1, report.Totals.OrdersDone)
}

func TestTheCrashSwitchEndsTheProcessInMidChange(t *testing.T) {
	folder := t.TempDir()
	first := startProcess(t, folder)
	path := PathFaultCrashDuringChange + "?after_ms=50"
	require.NoError(t, first.client.Post(context.Background(), first.address, path, nil, nil))
	// The process may end before its answer is written. That it had taken the order is shown below by the
	// half-done change that it left.
	if reply, err := first.tryOrder(1); err == nil {
		require.Equal(t, engineapi.OrderAccepted, reply.Status)
	}
	require.Error(t, first.command.Wait())
	require.Equal(t, crashStatus, first.command.ProcessState.ExitCode())
	require.Equal(t, engineapi.PhaseHalfDone, startProcess(t, folder).order(t, 1).State.Phase)
}
