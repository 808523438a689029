package headlimit

import (
	"crypto/tls"
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

// ErrBody is the error of a body, or of what follows it, that has to be kept whole and is larger than allowed.
var ErrBody = errors.New("the body of the answer has too many bytes")

// Dialer bounds what the connections of another dialer collect. The HTTP library asks a connection for more and more bytes
// until a head is whole.
type Dialer struct {
	network.Dialer
	// MaximumBody bounds a body that is kept whole, in bytes.
	MaximumBody int
}

// DialConnection implements network.Dialer.
func (d Dialer) DialConnection(network, address string, timeout time.Duration, config *tls.Config) (network.Conn, error) {
	opened, err := d.Dialer.DialConnection(network, address, timeout, config)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: opened, maximumBody: d.MaximumBody}, nil
}

// conn bounds the bytes that are collected before any of them is taken. A head or a trailer is collected by asking for
// more again and again, a body at once.
type conn struct {
	network.Conn
	maximumBody int
	// collecting is set once more bytes were asked for than there were, until some are taken.
	collecting bool
}

// framingBytes follow the bytes of a chunk.
const framingBytes = 2

// Peek implements network.Reader.
func (c *conn) Peek(count int) ([]byte, error) {
	switch {
	case count <= c.Len():
		return c.Conn.Peek(count)
	case c.collecting && count > MaximumBytes:
		return nil, ErrBytes
	case count > c.maximumBody+framingBytes:
		return nil, ErrBody
	}
	c.collecting = true
	return c.Conn.Peek(count)
}

// Skip implements network.Reader.
func (c *conn) Skip(count int) error {
	c.collecting = false
	return c.Conn.Skip(count)
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	c.collecting = false
	return c.Conn.Read(buffer)
}

// ToHertzError implements network.ErrorNormalization.
func (c *conn) ToHertzError(err error) error {
	if inner, ok := c.Conn.(network.ErrorNormalization); ok {
		return inner.ToHertzError(err)
	}
	return err
}
