package scale

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/pierhaven/pierhaven/bench/fleet"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
)

const (
	deploymentName  = "scale"
	modelVersion    = "1"
	applicationName = "records"
	operationName   = "write"
	// Objectives of the target deployment, and bounds of one request.
	firstTokenMillis    = 320
	betweenTokensMillis = 29
	maximumPromptTokens = 32768
	maximumOutputTokens = 4096
	// tenantTokensPerSecond is a budget that no run of this bench exhausts.
	tenantTokensPerSecond = 100_000
	// fixedPolicy makes the planner change no roles, so that only the bench does.
	fixedPolicyPrice = 1e12
)

func zoneName(zone int) string     { return fmt.Sprintf("zone-%d", zone+1) }
func tenantName(tenant int) string { return fmt.Sprintf("tenant-%03d", tenant+1) }
func modelName(model int) string   { return fmt.Sprintf("model-%02d", model+1) }

// deployment returns the deployment of a size. Hollow gateways are left out, since nothing connects to them.
func (s Size) deployment() *fleet.Deployment {
	deployment := &fleet.Deployment{
		Name:          deploymentName,
		EnginePreset:  "fast",
		Applications:  []string{applicationName},
		Configuration: s.configuration(),
	}
	for zone, replicas := range split(s.Replicas, s.Zones) {
		deployment.Zones = append(deployment.Zones, fleet.Zone{
			Name:        zoneName(zone),
			Controllers: controllersPerZone,
			Gateways:    realGatewaysPerZone,
			Engines:     s.engines(replicas),
		})
	}
	return deployment
}

// engines distributes the replicas of a zone among the models; a part of those of each model has the prefill role.
func (s Size) engines(replicas int) []fleet.Engine {
	var groups []fleet.Engine
	for model, count := range split(replicas, s.Models) {
		prefill := int(float64(count)*prefillShare + 0.5)
		alike := fleet.Engine{Model: modelName(model), Version: modelVersion}
		alike.Role, alike.Count = engineapi.RolePrefill, prefill
		groups = appendEngines(groups, alike)
		alike.Role, alike.Count = engineapi.RoleDecode, count-prefill
		groups = appendEngines(groups, alike)
	}
	return groups
}

func appendEngines(groups []fleet.Engine, alike fleet.Engine) []fleet.Engine {
	if alike.Count == 0 {
		return groups
	}
	return append(groups, alike)
}

func (s Size) configuration() dynamic.Snapshot {
	snapshot := dynamic.Snapshot{
		Applications: []dynamic.Application{{
			Name:       applicationName,
			Operations: []dynamic.Operation{{Name: operationName}},
		}},
		Policies: []dynamic.Policy{{
			Name:       "fixed",
			Ranking:    "request.priority",
			RoleChange: dynamic.RoleChangeRule{Price: fixedPolicyPrice, MaximumAway: 4},
		}},
	}
	for tenant := range s.Tenants {
		snapshot.Tenants = append(snapshot.Tenants, s.tenant(tenant, 0))
	}
	for model := range s.Models {
		snapshot.Models = append(snapshot.Models, dynamic.Model{
			Name: modelName(model), Version: modelVersion,
			FirstTokenMillis: firstTokenMillis, BetweenTokensMillis: betweenTokensMillis,
			MaximumPromptTokens: maximumPromptTokens, MaximumOutputTokens: maximumOutputTokens,
		})
	}
	return snapshot
}

// tenant returns a tenant after a number of changes, each of which changes its weight.
func (s Size) tenant(number, changes int) dynamic.Tenant {
	hash := sha256.Sum256([]byte(tenantName(number)))
	return dynamic.Tenant{
		Name:            tenantName(number),
		KeyHashes:       []string{hex.EncodeToString(hash[:])},
		HomeZone:        zoneName(number % s.Zones),
		TokensPerSecond: tenantTokensPerSecond,
		BurstTokens:     tenantTokensPerSecond,
		Weight:          float64(1 + changes),
		MaximumPriority: 10,
	}
}
