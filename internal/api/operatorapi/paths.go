package operatorapi

// Prefix is the first part of each path; the version is part of it.
const Prefix = "/operator/v1"

// Paths of the operators' interface below Prefix, in the router's notation.
const (
	PathOpenAPI       = "/openapi.yaml"
	PathStatus        = "/status"
	PathConfiguration = "/configuration"
	PathDocuments     = "/documents/:kind"
	PathDocument      = "/documents/:kind/:name"
	PathWithdraw      = "/documents/:kind/:name/withdraw"
	PathChange        = "/changes/:revision"
	PathZones         = "/zones"
	PathEngines       = "/engines"
	PathGateways      = "/gateways"
	PathEngineCommand = "/zones/:zone/engines/:engine/:action"
	PathRollout       = "/zones/:zone/rollouts/:model/:action"
	PathForgetGateway = "/zones/:zone/gateways/:gateway/forget"
	PathMembers       = "/groups/:group/members"
	PathLogDump       = "/log/dump"
	PathHeldRequests  = "/held-requests"
	PathHeldRequest   = "/held-requests/:digest/release"
)

// HeaderLeader carries the leader's address on a refusal of a follower.
const HeaderLeader = "Leader-Address"

// GroupConfig names the config group in PathMembers; a zone group goes by the
// name of its zone.
const GroupConfig = "config"
