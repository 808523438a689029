// Package datagram carries small messages between the processes of a region over UDP, several
// kinds over one socket. What they tell is soft state: a message may be lost, doubled or
// overtaken by another one, and its receiver must bear that.
package datagram
