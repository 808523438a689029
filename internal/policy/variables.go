package policy

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// Request describes the request to rank.
type Request struct {
	Tenant       string  `expr:"tenant"`
	Model        string  `expr:"model"`
	Adapter      string  `expr:"adapter"`
	Priority     int     `expr:"priority"`
	PromptTokens int     `expr:"prompt_tokens"`
	OutputTokens int     `expr:"output_tokens"`
	CachedTokens int     `expr:"cached_tokens"`
	HasDeadline  bool    `expr:"has_deadline"`
	DeadlineIn   float64 `expr:"deadline_in"`
	DeadlineAt   float64 `expr:"deadline_at"`
	ArrivedAt    float64 `expr:"arrived_at"`
	Batch        bool    `expr:"batch"`
	Spilled      bool    `expr:"spilled"`
}

// Tenant describes the tenant of the request to rank.
type Tenant struct {
	Weight      float64 `expr:"weight"`
	BudgetShare float64 `expr:"budget_share"`
	Queued      int     `expr:"queued"`
}

// Queue describes the model's queue at this gateway.
type Queue struct {
	Length        int     `expr:"length"`
	OldestWait    float64 `expr:"oldest_wait"`
	PredictedWait float64 `expr:"predicted_wait"`
}

// Zone describes the zone in which the program runs.
type Zone struct {
	Name     string `expr:"name"`
	CutOff   bool   `expr:"cut_off"`
	Engines  int    `expr:"engines"`
	Prefill  int    `expr:"prefill"`
	Decode   int    `expr:"decode"`
	Mixed    int    `expr:"mixed"`
	Away     int    `expr:"away"`
	Gateways int    `expr:"gateways"`
}

// AddEngine counts an engine by role; away means that it is being changed or
// drained.
func (z *Zone) AddEngine(role string, away bool) {
	z.Engines++
	switch engineapi.Role(role) {
	case engineapi.RolePrefill:
		z.Prefill++
	case engineapi.RoleDecode:
		z.Decode++
	case engineapi.RoleMixed:
		z.Mixed++
	}
	if away {
		z.Away++
	}
}

// Clock is the wall-clock time of the process, in UTC.
type Clock struct {
	Hour    int `expr:"hour"`
	Minute  int `expr:"minute"`
	Weekday int `expr:"weekday"`
}

// ClockAt returns the clock variables of a time, in UTC.
func ClockAt(at time.Time) Clock {
	at = at.UTC()
	return Clock{Hour: at.Hour(), Minute: at.Minute(), Weekday: int(at.Weekday())}
}

// Engine describes an engine that a placement rule may allow.
type Engine struct {
	ID         string `expr:"id"`
	Index      int    `expr:"index"`
	Role       string `expr:"role"`
	Model      string `expr:"model"`
	Version    string `expr:"version"`
	KVCapacity int    `expr:"kv_capacity"`
	InFlight   int    `expr:"in_flight"`
}

// Demand describes the forecast of a model's demand in the zone.
type Demand struct {
	Requests     float64 `expr:"requests"`
	PromptTokens float64 `expr:"prompt_tokens"`
	OutputTokens float64 `expr:"output_tokens"`
	Queued       int     `expr:"queued"`
	OldestWait   float64 `expr:"oldest_wait"`
	Missed       float64 `expr:"missed"`
	Age          float64 `expr:"age"`
}

// Change describes the role change that the planner proposes.
type Change struct {
	Model              string  `expr:"model"`
	From               string  `expr:"from"`
	To                 string  `expr:"to"`
	Gain               float64 `expr:"gain"`
	Price              float64 `expr:"price"`
	PrefillUtilisation float64 `expr:"prefill_utilisation"`
	DecodeUtilisation  float64 `expr:"decode_utilisation"`
	SinceLast          float64 `expr:"since_last"`
}

// RankingVariables are the variables of a ranking program.
type RankingVariables struct {
	Request Request `expr:"request"`
	Tenant  Tenant  `expr:"tenant"`
	Queue   Queue   `expr:"queue"`
	Zone    Zone    `expr:"zone"`
	Clock   Clock   `expr:"clock"`
}

// PlacementVariables are the variables of a placement condition.
type PlacementVariables struct {
	Engine Engine `expr:"engine"`
	Zone   Zone   `expr:"zone"`
	Clock  Clock  `expr:"clock"`
}

// RoleChangeVariables are the variables of a role-change condition.
type RoleChangeVariables struct {
	Change Change `expr:"change"`
	Demand Demand `expr:"demand"`
	Zone   Zone   `expr:"zone"`
	Clock  Clock  `expr:"clock"`
}

// PriceVariables are the variables of a price program.
type PriceVariables struct {
	Zone  Zone  `expr:"zone"`
	Clock Clock `expr:"clock"`
}
