package static

import "slices"

// checkNamed finds names or addresses that stand twice in lists of NAME=IP:port.
func (c *checker) checkNamed() {
	controller := c.loaded.Settings.Controller
	c.checkDistinct("controller.engines", controller.Engines)
	c.checkDistinct("controller.back_ends", controller.BackEnds)
}

// checkDistinct refuses two addresses under one name and two names for one
// address: both would make one back end out of two.
func (c *checker) checkDistinct(path string, list []string) {
	if !c.sound(path) {
		return
	}
	addresses, names := map[string]string{}, map[string]string{}
	for _, each := range list {
		name, address := SplitNamedAddress(each)
		if other, found := addresses[name]; found {
			c.add(path, "%s stands at two addresses, %s and %s", name, other, address)
			return
		}
		if other, found := names[address]; found {
			c.add(path, "%s has two names, %s and %s", address, other, name)
			return
		}
		addresses[name], names[address] = address, name
	}
}

// checkZoneNames refuses other zones' addresses under the own zone's name or
// under one that the deployment does not have.
func (c *checker) checkZoneNames(path string, list []string) {
	common := c.loaded.Settings.Common
	if !c.sound(path, "common.zone", "common.zones") {
		return
	}
	for _, each := range list {
		zone, _ := SplitNamedAddress(each)
		if zone == common.Zone {
			c.add(path, "%s names the own zone; only other zones belong here", each)
			return
		}
		if len(common.Zones) > 0 && !slices.Contains(common.Zones, zone) {
			c.add(path, "%s: %q is not among common.zones %s", each, zone, Format(common.Zones))
			return
		}
	}
}
