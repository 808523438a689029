// Package manygateways plays the same load with few and with many gateways before the same
// model replicas, in virtual time: what is served must not depend on how many gateways
// choose. Gateways decide as in the product (relay.Placer), by themselves with the word of
// their peers, or by asking coordinators (placement.Server); the replicas, the network and
// the callers are models.
package manygateways
