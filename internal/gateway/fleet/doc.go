// Package fleet is a gateway's picture of its zone: the configuration in force,
// the engines, application back ends and gateways of the last view, the load of
// each engine, and the permission to dispatch to it.
package fleet
