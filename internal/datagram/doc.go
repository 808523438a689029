// Package datagram sends small messages between the processes of a region over UDP, several kinds
// over one socket. They carry soft state: messages may be lost, duplicated or reordered, and
// receivers must tolerate that.
package datagram
