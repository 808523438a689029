package testnet

import (
	"net"
	"testing"
)

// StartPeer serves each connection to the address that it returns, and closes it afterwards.
func StartPeer(t testing.TB, serve func(conn *net.TCPConn)) (address string) {
	t.Helper()
	listener := Listen(t)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}
