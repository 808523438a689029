package traffic_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

func route(name, host, prefix string, parts ...traffic.Part) traffic.Route {
	return traffic.Route{Name: name, Host: host, PathPrefix: prefix, Kind: traffic.KindRepeatable, Split: parts}
}

func configuration(routes ...traffic.Route) *traffic.Configuration {
	return &traffic.Configuration{
		Version:  3,
		Routes:   routes,
		Services: []traffic.Service{{Name: "a"}, {Name: "b"}},
	}
}

func TestValidateNamesEachKindOfInvalidConfiguration(t *testing.T) {
	whole := traffic.Part{Service: "a", Weight: 1}
	unknownKind := route("r", "h", "/p/", whole)
	unknownKind.Kind = "sometimes"
	for name, test := range map[string]struct {
		routes []traffic.Route
		says   string
	}{
		"valid":            {[]traffic.Route{route("r", "h", "/p/", whole)}, ""},
		"unknown service":  {[]traffic.Route{route("r", "h", "/p/", traffic.Part{Service: "x", Weight: 1})}, "unknown service"},
		"same place":       {[]traffic.Route{route("r", "h", "/p/", whole), route("s", "h", "/p/", whole)}, "same host"},
		"weights of 0":     {[]traffic.Route{route("r", "h", "/p/", traffic.Part{Service: "a"})}, "add up to 0"},
		"no parts":         {[]traffic.Route{route("r", "h", "/p/")}, "add up to 0"},
		"negative weight":  {[]traffic.Route{route("r", "h", "/p/", traffic.Part{Service: "a", Weight: -1}, whole)}, "negative"},
		"no host":          {[]traffic.Route{route("r", "", "/p/", whole)}, "lacks a host"},
		"unknown kind":     {[]traffic.Route{unknownKind}, "unknown kind"},
		"same place twice": {[]traffic.Route{route("r", "h", "/", whole), route("s", "h", "/", whole)}, "same host"},
	} {
		t.Run(name, func(t *testing.T) {
			err := configuration(test.routes...).Validate()
			if test.says == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, test.says)
			assert.Equal(t, failure.InvalidDocument, failure.KindOf(err))
		})
	}
}

// TestWeightsThatWrapToZeroAreValid: only weights that are all 0 are refused.
func TestWeightsThatWrapToZeroAreValid(t *testing.T) {
	parts := []traffic.Part{{Service: "a", Weight: 1 << 62}, {Service: "b", Weight: 1 << 62}, {Service: "a", Weight: 1 << 62}, {Service: "b", Weight: 1 << 62}}
	require.NoError(t, configuration(route("r", "h", "/p/", parts...)).Validate())
}

func TestServicesAreNamedOnce(t *testing.T) {
	twice := &traffic.Configuration{Services: []traffic.Service{{Name: "a"}, {Name: "a"}}}
	require.ErrorContains(t, twice.Validate(), "defined twice")
}

func TestTheLongestPrefixOfTheHostIsFound(t *testing.T) {
	whole := traffic.Part{Service: "a", Weight: 1}
	table := traffic.NewTable(configuration(
		route("short", "h.example", "/a/", whole),
		route("long", "h.example", "/a/b/", whole),
		route("other", "g.example", "/", whole),
	), nil)
	for _, test := range []struct{ host, path, found string }{
		{"h.example", "/a/x", "short"},
		{"h.example", "/a/b/x", "long"},
		{"H.Example:8080", "/a/b/x", "long"},
		{"h.example", "/a", ""},
		{"h.example", "/ab/", ""},
		{"g.example", "/anything", "other"},
		{"unknown.example", "/a/", ""},
	} {
		found := table.Find(test.host, test.path)
		if test.found == "" {
			assert.Nil(t, found, "%s%s", test.host, test.path)
			continue
		}
		require.NotNil(t, found, "%s%s", test.host, test.path)
		assert.Equal(t, test.found, found.Name)
	}
}

func TestASplitterDealsExactlyByWeight(t *testing.T) {
	for start := range 10 {
		splitter := traffic.NewSplitter([]traffic.Part{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}, {Service: "c"}},
			func(int) int { return start })
		counts := map[string]int{}
		for range 10 {
			counts[splitter.Next()]++
		}
		assert.Equal(t, map[string]int{"a": 9, "b": 1}, counts, "from position %d", start)
	}
}

func TestASplitterGoesOnWhereItWasUnlessItsPartsChange(t *testing.T) {
	parts := []traffic.Part{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}
	before := traffic.NewTable(configuration(route("r", "h", "/p/", parts...)), nil)
	first := before.Find("h", "/p/").Splitter.Next()

	same := traffic.NewTable(configuration(route("r", "h", "/p/", parts...)), before)
	assert.NotEqual(t, first, same.Find("h", "/p/").Splitter.Next(), "the parts take turns over the change")

	changed := traffic.NewTable(configuration(route("r", "h", "/p/", traffic.Part{Service: "b", Weight: 1})), same)
	assert.Equal(t, "b", changed.Find("h", "/p/").Splitter.Next())
}

// TestManyGatewaysTogetherDealByWeight has gateways that each see a few requests: all together
// stay near the weights, whatever positions they have started at.
func TestManyGatewaysTogetherDealByWeight(t *testing.T) {
	const gateways, requests, off = 79, 400, 0.04
	parts := []traffic.Part{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		splitters := make([]*traffic.Splitter, gateways)
		for index := range splitters {
			splitters[index] = traffic.NewSplitter(parts, random.IntN)
		}
		dealt := 0
		for range requests {
			if splitters[random.IntN(gateways)].Next() == "b" {
				dealt++
			}
		}
		assert.InDelta(t, 0.1, float64(dealt)/requests, off, "seed %d", seed)
	}
}
