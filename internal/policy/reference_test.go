package policy_test

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/policy"
)

// TestReferenceMatchesVariables checks that docs/policy-reference.md and the
// environment structs list the same variables with the same types, in both
// directions.
func TestReferenceMatchesVariables(t *testing.T) {
	page, err := os.ReadFile("../../docs/policy-reference.md")
	require.NoError(t, err)
	row := regexp.MustCompile("(?m)^\\| `([a-z]+\\.[a-z_]+)` \\| (string|int|float|bool) \\|[^|]*\\|[^|]+\\|[^|]+\\|$")
	var documented []string
	for _, match := range row.FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, match[1]+" "+match[2])
	}
	var declared []string
	for _, environment := range []any{policy.RankingVariables{}, policy.PlacementVariables{}, policy.RoleChangeVariables{}, policy.PriceVariables{}} {
		declared = append(declared, variablesOf(reflect.TypeOf(environment), "")...)
	}
	slices.Sort(documented)
	slices.Sort(declared)
	assert.Equal(t, slices.Compact(declared), documented)
}

func variablesOf(environment reflect.Type, prefix string) []string {
	var names []string
	for index := range environment.NumField() {
		field := environment.Field(index)
		name := prefix + field.Tag.Get("expr")
		if field.Type.Kind() == reflect.Struct {
			names = append(names, variablesOf(field.Type, name+".")...)
			continue
		}
		kind := field.Type.Kind().String()
		if kind == "float64" {
			kind = "float"
		}
		names = append(names, name+" "+kind)
	}
	return names
}
