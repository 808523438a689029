package policy

import (
	"fmt"
	"math"
	"reflect"

	"github.com/expr-lang/expr"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
)

// Program is a compiled policy. It is safe for concurrent use.
type Program struct {
	document   dynamic.Policy
	ranking    *expression
	placement  []*expression
	roleChange *expression
	price      *expression
}

// Compile checks and compiles a policy. It reports all problems, not only the
// first.
func Compile(document dynamic.Policy) (*Program, Problems) {
	compiler := compiler{}
	program := &Program{document: document}
	compiler.checkFields(document)
	program.ranking = compiler.expression("ranking", document.Ranking, rankingSamples(), numberResult())
	for index, rule := range document.Placement {
		field := fmt.Sprintf("placement[%d].condition", index)
		program.placement = append(program.placement, compiler.expression(field, rule.Condition, placementSamples(), expr.AsBool()))
	}
	program.roleChange = compiler.expression("role_change.condition", document.RoleChange.Condition, roleChangeSamples(), expr.AsBool())
	program.price = compiler.expression("role_change.price_program", document.RoleChange.PriceProgram, priceSamples(), numberResult())
	if len(compiler.problems) > 0 {
		return nil, compiler.problems
	}
	return program, nil
}

func numberResult() expr.Option { return expr.AsKind(reflect.Float64) }

// compiler compiles expressions and collects their problems.
type compiler struct {
	problems Problems
}

func (c *compiler) expression(field, text string, samples []any, result expr.Option) *expression {
	if text == "" {
		return nil
	}
	compiled, problem := compile(field, text, samples, result)
	if problem != nil {
		c.problems = append(c.problems, *problem)
	}
	return compiled
}

// checkFields checks the fields that aren't expressions.
func (c *compiler) checkFields(document dynamic.Policy) {
	if document.Name == "" {
		c.addProblem("name", "a policy needs a name")
	}
	for index, rule := range document.Placement {
		field := fmt.Sprintf("placement[%d]", index)
		if rule.Model == "" {
			c.addProblem(field+".model", "a placement rule needs a model")
		}
		if rule.Version == "" {
			c.addProblem(field+".version", "a placement rule needs a version")
		}
		if rule.Minimum < 0 {
			c.addProblem(field+".minimum", "must not be negative")
		}
	}
	c.checkNumber("role_change.price", document.RoleChange.Price)
	c.checkNumber("role_change.minimum_dwell_seconds", document.RoleChange.MinimumDwellSeconds)
	if document.RoleChange.MaximumAway < 0 {
		c.addProblem("role_change.maximum_away", "must not be negative")
	}
}

func (c *compiler) checkNumber(field string, value float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		c.addProblem(field, "must be a number of at least 0")
	}
}

func (c *compiler) addProblem(field, message string) {
	c.problems = append(c.problems, Problem{Field: field, Message: message})
}
