package static

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
)

// addressProblem says what is wrong with an IP:port address, "" if nothing is.
func addressProblem(text string) string {
	if _, err := netip.ParseAddrPort(text); err == nil {
		return ""
	}
	separator := strings.LastIndex(text, ":")
	if separator < 0 {
		return fmt.Sprintf("bad address %q: must be IP:port, the port is missing", text)
	}
	host, port := text[:separator], text[separator+1:]
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Sprintf("bad address %q: port %q is not a number from 0 to 65535", text, port)
	}
	if looksLikeName(host) {
		return fmt.Sprintf("bad address %q: %q is a host name, an IP number is needed", text, host)
	}
	return fmt.Sprintf("bad address %q: %q is not an IP number", text, host)
}

func looksLikeName(host string) bool {
	return strings.ContainsFunc(host, func(letter rune) bool {
		return letter >= 'g' && letter <= 'z' || letter >= 'G' && letter <= 'Z'
	})
}

// specificAddressProblem also refuses addresses that can't be dialled.
func specificAddressProblem(text string) string {
	if problem := addressProblem(text); problem != "" {
		return problem
	}
	address := netip.MustParseAddrPort(text)
	if address.Addr().IsUnspecified() || address.Port() == 0 {
		return fmt.Sprintf("address %q can't be reached by others: a specific IP number and port are needed", text)
	}
	return ""
}

// SplitNamedAddress splits NAME=IP:port.
func SplitNamedAddress(text string) (name, address string) {
	name, address, _ = strings.Cut(text, "=")
	return name, address
}

// namedAddressProblem says what is wrong with NAME=IP:port, "" if nothing is.
func namedAddressProblem(text string) string {
	name, address := SplitNamedAddress(text)
	if name == "" || address == "" {
		return fmt.Sprintf("%q must be NAME=IP:port", text)
	}
	return specificAddressProblem(address)
}
