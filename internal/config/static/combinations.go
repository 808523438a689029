package static

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// checkCombinations applies the rules between fields. A rule is left out where
// one of its fields already has a problem of its own.
func (c *checker) checkCombinations() {
	c.checkZone()
	c.checkPorts()
	if slices.Contains(c.loaded.Sections, SectionGateway) {
		c.checkGateway()
	}
	if slices.Contains(c.loaded.Sections, SectionController) {
		c.checkGroups()
		c.checkTimes()
		c.checkNamed()
		c.checkZoneNames("controller.other_zones", c.loaded.Settings.Controller.OtherZones)
	}
}

func (c *checker) checkZone() {
	common := c.loaded.Settings.Common
	if !c.sound("common.zone", "common.zones") {
		return
	}
	if len(common.Zones) == 0 {
		c.checkZonesGiven()
		return
	}
	if !slices.Contains(common.Zones, common.Zone) {
		c.add("common.zone", "%q is not among common.zones %s", common.Zone, Format(common.Zones))
	}
}

// checkZonesGiven asks for the list of zones where it is needed.
func (c *checker) checkZonesGiven() {
	if slices.Contains(c.loaded.Sections, SectionController) {
		c.add("common.zones", "a controller needs the list of all zones")
	}
}

// listener is one address that the process binds.
type listener struct {
	path    string
	address netip.AddrPort
}

func (c *checker) checkPorts() {
	settings := c.loaded.Settings
	addresses := []struct{ path, text string }{
		{"gateway.listen_address", settings.Gateway.ListenAddress},
		{"gateway.peer_listen_address", settings.Gateway.PeerListenAddress},
		{"controller.listen_address", settings.Controller.ListenAddress},
		{"controller.operator_listen_address", settings.Controller.OperatorListenAddress},
	}
	var bound []listener
	for _, each := range addresses {
		address, err := netip.ParseAddrPort(each.text)
		if err != nil || address.Port() == 0 {
			continue
		}
		for _, earlier := range bound {
			if clash(earlier.address, address) {
				c.add(each.path, "port %d of %s is already taken by %s", address.Port(), each.text, earlier.path)
				break
			}
		}
		bound = append(bound, listener{each.path, address})
	}
}

func clash(left, right netip.AddrPort) bool {
	if left.Port() != right.Port() {
		return false
	}
	return left.Addr() == right.Addr() || left.Addr().IsUnspecified() || right.Addr().IsUnspecified()
}

func (c *checker) checkGateway() {
	gateway := c.loaded.Settings.Gateway
	if len(c.loaded.Settings.Common.Controllers) == 0 && c.sound("common.controllers") {
		c.add("common.controllers", "a gateway needs at least one controller of its zone")
	}
	if gateway.DefaultDeadline > gateway.MaxDeadline && c.sound("gateway.default_deadline", "gateway.max_deadline") {
		c.add("gateway.default_deadline", "%s is longer than gateway.max_deadline %s", gateway.DefaultDeadline, gateway.MaxDeadline)
	}
	if gateway.BatchConcurrency > gateway.MaxWorkers && c.sound("gateway.batch_concurrency", "gateway.max_workers") {
		c.add("gateway.batch_concurrency", "%d is more than gateway.max_workers %d", gateway.BatchConcurrency, gateway.MaxWorkers)
	}
	// A planned stop must be able to end before it cuts.
	stop := c.loaded.Settings.Common.StopDeadline
	c.checkShorter("gateway.leaving_grace", gateway.LeavingGrace, "common.stop_deadline", stop)
	c.checkShorter("gateway.batch_collect_time", gateway.BatchCollectTime, "common.stop_deadline", stop)
	// A silent engine must be noticed while the request can still be resumed.
	c.checkShorter("gateway.max_wait", gateway.MaxWait, "gateway.max_deadline", gateway.MaxDeadline)
	c.checkShorter("gateway.stall_timeout", gateway.StallTimeout, "gateway.max_deadline", gateway.MaxDeadline)
	c.checkShorter("gateway.first_token_timeout", gateway.FirstTokenTimeout, "gateway.max_deadline", gateway.MaxDeadline)
	c.checkZoneNames("gateway.peers", gateway.Peers)
}

// checkAdvertised refuses to listen on all addresses without saying which one
// others should use.
func (c *checker) checkAdvertised(listenPath, listen, advertisePath, advertise string) {
	address, err := netip.ParseAddrPort(listen)
	if err != nil || advertise != "" || !c.sound(listenPath, advertisePath) {
		return
	}
	if address.Addr().IsUnspecified() {
		c.add(advertisePath, "is required, because %s %s is not an address that others can use", listenPath, listen)
	}
}

func (c *checker) checkGroups() {
	controller := c.loaded.Settings.Controller
	if c.loaded.Settings.Common.DataFolder == "" && c.sound("common.data_folder") {
		c.add("common.data_folder", "a controller needs a data folder")
	}
	c.checkAdvertised("controller.listen_address", controller.ListenAddress, "controller.advertise_address", controller.AdvertiseAddress)
	own := controller.Advertised()
	c.checkOdd("controller.zone_voters", controller.ZoneVoters)
	c.checkOdd("controller.config_voters", controller.ConfigVoters)
	if !c.sound("controller.listen_address", "controller.advertise_address", "controller.config_voters") {
		return
	}
	listed := slices.Contains(controller.ConfigVoters, own)
	switch {
	case controller.ConfigVoter && !listed:
		c.add("controller.config_voter", "this controller (%s) is not among controller.config_voters %s", own, Format(controller.ConfigVoters))
	case !controller.ConfigVoter && listed:
		c.add("controller.config_voter", "must be true, because controller.config_voters names this controller (%s)", own)
	}
}

// Advertised is the address at which other processes reach the controller.
func (c Controller) Advertised() string {
	if c.AdvertiseAddress != "" {
		return c.AdvertiseAddress
	}
	return c.ListenAddress
}

// checkOdd refuses an even number of voters: it survives no more faults than
// one voter fewer.
func (c *checker) checkOdd(path string, voters []string) {
	if len(voters)%2 == 0 && c.sound(path) {
		c.add(path, "%d voters: the number must be odd, since an even one survives no more faults than one fewer", len(voters))
	}
}

func (c *checker) checkTimes() {
	controller := c.loaded.Settings.Controller
	c.checkShorter("controller.raft_heartbeat", controller.RaftHeartbeat, "controller.election_timeout", controller.ElectionTimeout)
	c.checkShorter("controller.session_heartbeat", controller.SessionHeartbeat, "controller.session_lease", controller.SessionLease)
	c.checkShorter("controller.session_lease", controller.SessionLease, "controller.isolation_limit", controller.IsolationLimit)
}

func (c *checker) checkShorter(shortPath string, short time.Duration, longPath string, long time.Duration) {
	if short < long || !c.sound(shortPath, longPath) {
		return
	}
	c.add(shortPath, "%s", fmt.Sprintf("%s must be shorter than %s %s", short, longPath, long))
}
