package manygateways_test

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/bench/manygateways"
)

const coordinators = 5

// goodput is the mean over some seeds.
func goodput(t *testing.T, options manygateways.Options) float64 {
	t.Helper()
	const seeds = 3
	sum := 0.0
	for seed := uint64(1); seed <= seeds; seed++ {
		options.Seed = seed
		result := manygateways.Run(options)
		t.Logf("seed %d: %d gateways, %d coordinators: goodput %.3f, refused %d, failed %d, busiest %.2f",
			seed, options.Gateways, options.Coordinators, result.Goodput(), result.Refused, result.Failed, result.Busiest)
		sum += result.Goodput()
	}
	return sum / seeds
}

// repeated are the options of the run whose events are compared.
var repeated = manygateways.Options{Gateways: 20, Coordinators: coordinators, Seed: 1}

// eventsVariable asks a process of this test to print the hash of its events.
const eventsVariable = "MANYGATEWAYS_EVENTS"

// TestARunRepeats plays one seed twice in this process and once in another: what is measured
// on a seed must not depend on the process.
func TestARunRepeats(t *testing.T) {
	first := manygateways.Run(repeated)
	if os.Getenv(eventsVariable) != "" {
		fmt.Printf("events %x\n", first.Events)
		return
	}
	assert.Equal(t, first, manygateways.Run(repeated))
	alone := manygateways.Options{Gateways: 20, Seed: 1}
	assert.Equal(t, manygateways.Run(alone), manygateways.Run(alone))
	other := exec.Command(os.Args[0], "-test.run=^TestARunRepeats$")
	other.Env = append(os.Environ(), eventsVariable+"=1")
	printed, err := other.Output()
	require.NoError(t, err)
	assert.Contains(t, string(printed), fmt.Sprintf("events %x\n", first.Events))
}

// TestGoodputDoesNotDependOnTheNumberOfGateways plays what the users measured on 295
// gateways: with coordinators that choose, many serve as well as one. A seed's goodput has a
// standard deviation of 0.01 with one gateway and of 0.015 to 0.02 with many (ten seeds), and a
// seed repeats exactly.
func TestGoodputDoesNotDependOnTheNumberOfGateways(t *testing.T) {
	one := goodput(t, manygateways.Options{Gateways: 1})
	for _, gateways := range []int{10, 100, 300} {
		many := goodput(t, manygateways.Options{Gateways: gateways, Coordinators: coordinators})
		assert.GreaterOrEqual(t, many, one-0.05, "%d gateways", gateways)
	}
}

// TestManyGatewaysThatChooseByThemselvesServeLess holds the case to what it is for: without
// coordinators it shows the loss.
func TestManyGatewaysThatChooseByThemselvesServeLess(t *testing.T) {
	one := goodput(t, manygateways.Options{Gateways: 1})
	many := goodput(t, manygateways.Options{Gateways: 300})
	assert.Less(t, many, one-0.08)
}

// TestASilentCoordinatorCostsLittle has one of five fall silent for a seventh of the run.
func TestASilentCoordinatorCostsLittle(t *testing.T) {
	calm := goodput(t, manygateways.Options{Gateways: 300, Coordinators: coordinators})
	silent := goodput(t, manygateways.Options{Gateways: 300, Coordinators: coordinators, Silence: 5 * time.Second})
	assert.GreaterOrEqual(t, silent, calm-0.1)
}
