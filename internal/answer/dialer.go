package answer

import (
	"bufio"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

// Dialer makes connections for the clients of the HTTP library, on which answers are judged: each is a Conn.
type Dialer struct {
	// Dialer is for what clients without TLS don't use.
	network.Dialer
	// MaximumBody bounds a body that is kept whole, in bytes.
	MaximumBody int
	// OnFault is called for what was sent in the place of an answer; nil if nobody cares.
	OnFault func(Fault)
}

var errTLS = errors.New("connections with TLS are not supported")

// DialConnection implements network.Dialer.
func (d Dialer) DialConnection(network, address string, timeout time.Duration, config *tls.Config) (network.Conn, error) {
	if config != nil {
		return nil, errTLS
	}
	conn, err := d.Dial(network, address, timeout)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// Dial connects to a peer.
func (d Dialer) Dial(network, address string, timeout time.Duration) (*Conn, error) {
	opened, err := net.DialTimeout(network, address, timeout)
	if err != nil {
		return nil, err
	}
	return d.newConn(opened), nil
}

func (d Dialer) newConn(opened net.Conn) *Conn {
	onFault := d.OnFault
	if onFault == nil {
		onFault = func(Fault) {}
	}
	return &Conn{Conn: opened, reader: bufio.NewReaderSize(opened, connBufferBytes), maximumBody: d.MaximumBody, onFault: onFault}
}
