package policycheck

import (
	"fmt"
	"slices"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
)

// Warnings returns a warning for each part of the checked policies that would have
// no effect together with the present policies.
func Warnings(present, checked []dynamic.Policy) []string {
	warnings := []string{}
	policies := mergePolicies(present, checked)
	for index, each := range policies {
		isChecked := slices.ContainsFunc(checked, func(other dynamic.Policy) bool { return other.Name == each.Name })
		if !isChecked {
			continue
		}
		if other := firstPolicyForAllModels(policies[:index]); other != "" && len(each.Models) == 0 {
			warnings = append(warnings, fmt.Sprintf("policy %q: governs no model, because %q lists none either and comes first by name", each.Name, other))
		}
		for _, model := range each.Models {
			if other := firstPolicyForModel(policies[:index], model); other != "" {
				warnings = append(warnings, fmt.Sprintf("policy %q: does not govern the model %q, because %q does and comes first by name", each.Name, model, other))
			}
		}
	}
	return warnings
}

// firstPolicyForModel returns the name of the first policy that lists a model, or
// "".
func firstPolicyForModel(earlier []dynamic.Policy, model string) string {
	for _, each := range earlier {
		if slices.Contains(each.Models, model) {
			return each.Name
		}
	}
	return ""
}

// firstPolicyForAllModels returns the name of the first policy that lists no
// models, or "".
func firstPolicyForAllModels(earlier []dynamic.Policy) string {
	for _, each := range earlier {
		if len(each.Models) == 0 {
			return each.Name
		}
	}
	return ""
}
