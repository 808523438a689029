// Package manygateways simulates the same load with few and with many gateways in front of the same replicas, in
// virtual time: the goodput must not depend on the number of gateways. Placement is that of the product: by the gateways
// themselves, with the reports of their peers (relay.Placer), or by coordinators (placement.Server). The replicas, the
// network and the callers are models.
package manygateways
