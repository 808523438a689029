package faultproxy

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Owners resolves connections to the local processes that made them, by the
// kernel's TCP sockets. It works on Linux, for IPv4 and for processes
// of the same user.
type Owners struct {
	// Processes returns the names of the processes by their numbers.
	Processes func() map[int]string
}

// Fields of a line of /proc/net/tcp.
const (
	socketTable  = "/proc/net/tcp"
	localField   = 1
	inodeField   = 9
	socketFields = 10
)

// Sources implements SourceResolver.
func (o *Owners) Sources(addresses []net.Addr) []string {
	names := make([]string, len(addresses))
	inodes := socketInodes(addresses)
	owners := socketOwners(o.Processes())
	for index, address := range addresses {
		names[index] = ownerOf(inodes[address.String()], owners)
	}
	return names
}

// ownerOf returns the name of the process that has one of some sockets, empty if none is known. Connections of
// several processes may have one local address, if they lead to different ones.
func ownerOf(inodes []string, owners map[string]string) string {
	for _, inode := range inodes {
		if name, found := owners[inode]; found {
			return name
		}
	}
	return ""
}

// socketInodes finds the sockets that are bound to some addresses, by the
// addresses' text.
func socketInodes(addresses []net.Addr) map[string][]string {
	wanted := make(map[netip.AddrPort]string, len(addresses))
	for _, address := range addresses {
		if local, err := netip.ParseAddrPort(address.String()); err == nil {
			wanted[netip.AddrPortFrom(local.Addr().Unmap(), local.Port())] = address.String()
		}
	}
	inodes := make(map[string][]string, len(wanted))
	err := visitSockets(func(local netip.AddrPort, inode uint32) {
		if address, found := wanted[local]; found && inode != 0 {
			inodes[address] = append(inodes[address], strconv.FormatUint(uint64(inode), 10))
		}
	})
	if err != nil {
		return tableInodes(addresses)
	}
	return inodes
}

// tableInodes does the same by the kernel's table, where there is no socket monitoring.
func tableInodes(addresses []net.Addr) map[string][]string {
	wanted := make(map[string]string, len(addresses))
	for _, address := range addresses {
		if local, err := netip.ParseAddrPort(address.String()); err == nil {
			wanted[kernelAddress(local)] = address.String()
		}
	}
	table, err := os.Open(socketTable)
	if err != nil {
		return nil
	}
	defer table.Close()
	return readInodes(table, wanted)
}

// noInode is the inode of connections that have been closed and wait for late segments.
const noInode = "0"

// readInodes reads the inodes of the sockets at wanted addresses from the kernel's table. The port of a
// connection that has been closed may be used again by one to another address.
func readInodes(table io.Reader, wanted map[string]string) map[string][]string {
	inodes := make(map[string][]string, len(wanted))
	lines := bufio.NewScanner(table)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < socketFields {
			continue
		}
		if address, found := wanted[fields[localField]]; found && fields[inodeField] != noInode {
			inodes[address] = append(inodes[address], fields[inodeField])
		}
	}
	return inodes
}

// kernelAddress writes an address as the kernel's table does: the IP number in
// the byte order of the machine, then the port, both in hexadecimal.
func kernelAddress(address netip.AddrPort) string {
	bytes := address.Addr().Unmap().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(bytes[:]), address.Port())
}

// socketOwners maps the inodes of the processes' open sockets to their names.
func socketOwners(processes map[int]string) map[string]string {
	owners := make(map[string]string)
	for process, name := range processes {
		folder := filepath.Join("/proc", strconv.Itoa(process), "fd")
		descriptors, err := os.ReadDir(folder)
		if err != nil {
			continue
		}
		for _, descriptor := range descriptors {
			target, err := os.Readlink(filepath.Join(folder, descriptor.Name()))
			if err != nil {
				continue
			}
			if inode, isSocket := strings.CutPrefix(target, "socket:["); isSocket {
				owners[strings.TrimSuffix(inode, "]")] = name
			}
		}
	}
	return owners
}
