// Package policy compiles and runs the programs that operators write: request
// ranking, placement conditions, role-change conditions and role-change prices.
// Programs are expressions in the language of github.com/expr-lang/expr over typed
// variables, which docs/policy-reference.md lists. They have no loops, and their
// size and memory are bounded. When a program fails at run time, the failure is
// counted and a default is used instead: the built-in ranking, no placement, the
// planner's own estimate of a role change, or the policy's fixed price.
package policy
