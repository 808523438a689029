package origin

import "strings"

//go:generate go tool msgp -file route.go -tests=false -io=false
//msgp:tuple RouteService

// RouteService is a service to which requests of a host below a path prefix go.
type RouteService struct {
	Host       string `msg:"host"`
	PathPrefix string `msg:"prefix"`
	Service    string `msg:"service"`
}

// AnyRouteService stands for all services of all routes.
var AnyRouteService = RouteService{}

// MayServe reports whether requests of a route, given by its host in lower case and its path prefix, may be among those of
// this one.
func (r *RouteService) MayServe(host, prefix string) bool {
	return *r == AnyRouteService || r.Host == host && (strings.HasPrefix(prefix, r.PathPrefix) || strings.HasPrefix(r.PathPrefix, prefix))
}
