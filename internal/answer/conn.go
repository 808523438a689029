package answer

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"

	"github.com/pierhaven/pierhaven/internal/headlimit"
)

// Errors of a Conn.
var (
	// ErrBody is the error of a body that has to be kept whole and is larger than allowed.
	ErrBody = errors.New("the body of the answer has too many bytes")
	// ErrUnasked says that bytes have come between an answer and the next request, of which nothing was sent.
	ErrUnasked = errors.New("bytes have come on the connection that belong to no request")
	// errInterim says that no answer came behind the interim ones.
	errInterim = errors.New("only interim answers came")
)

// Conn is a connection to a peer that answers one request after the other. It implements network.Conn for the HTTP library, which gets each answer
// in a plain form that all parsers read alike: without interim answers, extensions and trailers, with a length or in chunks. An answer without a
// length gets chunks, the last of which is there only if the connection has ended in order.
//
// One goroutine may flush a request while another one reads its answer.
type Conn struct {
	net.Conn
	reader      *bufio.Reader
	maximumBody int
	onFault     func(Fault)

	output  output
	sending *Sending

	// isUsed is set once a request was begun, and asked once one was begun whose answer has not.
	isUsed, asked bool
	body          *Body
	// isChunked says that the body is handed on in chunks.
	isChunked bool
	// ready are the bytes that the library may read, from next on.
	ready []byte
	next  int
	// err is what ended the reading of answers.
	err error
}

// anyMethod stands for the methods of requests. The clients that use a Conn send no HEAD, whose answer has no body.
const anyMethod = http.MethodPost

const (
	connBufferBytes = 4 << 10
	// framingBytes follow the bytes of a chunk.
	framingBytes = 2
	// keptBufferBytes is the size up to which a buffer is kept for the next answer.
	keptBufferBytes = 64 << 10
)

// Peek implements network.Reader.
func (c *Conn) Peek(count int) ([]byte, error) {
	if count > c.Len() && count > c.maximumBody+framingBytes {
		return nil, ErrBody
	}
	err := c.fill(count)
	return c.ready[c.next : c.next+min(count, c.Len())], err
}

// fill makes a number of bytes ready.
func (c *Conn) fill(count int) error {
	for c.Len() < count {
		if c.err != nil {
			return c.err
		}
		if err := c.readNext(count - c.Len()); err != nil {
			return c.fail(err)
		}
	}
	return nil
}

// fail keeps an error, unless the reading may go on after it.
func (c *Conn) fail(err error) error {
	var timeout net.Error
	if !c.asked && c.body == nil && errors.As(err, &timeout) && timeout.Timeout() {
		return err
	}
	c.err = err
	if fault := FaultOf(err); fault != "" {
		c.onFault(fault)
	}
	return err
}

// readNext makes the next head ready, or some bytes of the body; missing is how many are asked for.
func (c *Conn) readNext(missing int) error {
	switch {
	case c.body != nil && c.isChunked:
		return c.readChunk()
	case c.body != nil:
		return c.readAnnounced(missing)
	case !c.asked:
		return c.awaitUnasked()
	}
	if _, err := c.reader.Peek(1); err != nil {
		// The library tells a connection that has ended before an answer by this error.
		return err
	}
	head, err := c.readHead()
	if err != nil {
		return err
	}
	c.asked = false
	c.begin(head)
	return nil
}

// awaitUnasked waits for the end of the connection.
func (c *Conn) awaitUnasked() error {
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	return ErrUnasked
}

// readHead reads the next head that is not that of an interim answer.
func (c *Conn) readHead() (*Head, error) {
	var heads headlimit.Counter
	for range MaximumInterim {
		head, err := ReadHead(c.reader, heads.Add)
		if err != nil || !head.IsInterim() {
			return head, err
		}
	}
	return nil, errInterim
}

// begin makes a head ready, in its plain form.
func (c *Conn) begin(head *Head) {
	c.body = head.Body(anyMethod, c.reader, func() error { return CheckEnd(c.Conn, c.sending) })
	length, isAnnounced := head.Length(anyMethod)
	c.isChunked = !isAnnounced
	c.ready = append(c.ready, "HTTP/1.1 "...)
	c.ready = strconv.AppendInt(c.ready, int64(head.Status), 10)
	c.ready = append(c.ready, " \r\n"...)
	for name, values := range head.Header {
		switch name {
		case headerLength, headerCoding, headerConnection, headerTrailer:
			continue
		}
		for _, value := range values {
			c.addField(name, value)
		}
	}
	if head.Close || !head.IsFramed(anyMethod) {
		c.addField(headerConnection, "close")
	}
	if isAnnounced {
		c.addField(headerLength, strconv.FormatInt(length, 10))
	} else {
		c.addField(headerCoding, codingChunked)
	}
	c.ready = append(c.ready, "\r\n"...)
	if isAnnounced && length == 0 {
		c.body = nil
	}
}

func (c *Conn) addField(name, value string) {
	c.ready = append(c.ready, name...)
	c.ready = append(c.ready, ": "...)
	c.ready = append(c.ready, value...)
	c.ready = append(c.ready, "\r\n"...)
}

// readAnnounced makes bytes of a body with a length ready.
func (c *Conn) readAnnounced(missing int) error {
	c.grow(missing)
	count, err := c.body.Read(c.ready[len(c.ready):cap(c.ready)])
	c.ready = c.ready[:len(c.ready)+count]
	return c.endBody(err)
}

// maximumSizeBytes are those of the line with the size of a chunk of connBufferBytes.
const maximumSizeBytes = len("1000\r\n")

// readChunk makes a chunk ready, and the last one behind the end of the body.
func (c *Conn) readChunk() error {
	var data [connBufferBytes]byte
	count, err := c.body.Read(data[:])
	if count > 0 {
		c.grow(maximumSizeBytes + count + framingBytes)
		c.ready = strconv.AppendInt(c.ready, int64(count), 16)
		c.ready = append(c.ready, "\r\n"...)
		c.ready = append(c.ready, data[:count]...)
		c.ready = append(c.ready, "\r\n"...)
	}
	if errors.Is(err, io.EOF) {
		c.ready = append(c.ready, "0\r\n\r\n"...)
	}
	return c.endBody(err)
}

// endBody notes the end of a body, and returns any other error.
func (c *Conn) endBody(err error) error {
	if errors.Is(err, io.EOF) {
		c.body = nil
		return nil
	}
	return err
}

// grow makes room for a number of bytes.
func (c *Conn) grow(count int) {
	if cap(c.ready)-len(c.ready) >= count {
		return
	}
	unread := c.ready[c.next:]
	if cap(c.ready)-len(unread) < count {
		c.ready = make([]byte, 0, max(len(unread)+count, connBufferBytes))
	}
	c.ready, c.next = append(c.ready[:0], unread...), 0
}

// Skip implements network.Reader.
func (c *Conn) Skip(count int) error {
	if count > c.Len() {
		return io.ErrShortBuffer
	}
	c.next += count
	return nil
}

// Release implements network.Reader.
func (c *Conn) Release() error {
	if c.Len() > 0 {
		return nil
	}
	c.ready, c.next = c.ready[:0], 0
	if cap(c.ready) > keptBufferBytes {
		c.ready = nil
	}
	return nil
}

// Len implements network.Reader.
func (c *Conn) Len() int { return len(c.ready) - c.next }

// ReadByte implements network.Reader.
func (c *Conn) ReadByte() (byte, error) {
	data, err := c.Peek(1)
	if err != nil {
		return 0, err
	}
	return data[0], c.Skip(1)
}

// ReadBinary implements network.Reader.
func (c *Conn) ReadBinary(count int) ([]byte, error) {
	data, err := c.Peek(count)
	if err != nil {
		return nil, err
	}
	return append([]byte(nil), data...), c.Skip(count)
}

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	if err := c.fill(1); err != nil {
		return 0, err
	}
	count := copy(buffer, c.ready[c.next:])
	c.next += count
	return count, c.Release()
}

// SetReadTimeout implements network.Conn.
func (c *Conn) SetReadTimeout(timeout time.Duration) error {
	return c.SetReadDeadline(deadline(timeout))
}

// SetWriteTimeout implements network.Conn.
func (c *Conn) SetWriteTimeout(timeout time.Duration) error {
	return c.SetWriteDeadline(deadline(timeout))
}

// deadline is when a timeout ends that begins now, the zero time if there is none.
func deadline(timeout time.Duration) time.Time {
	if timeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(timeout)
}

// ToHertzError implements network.ErrorNormalization.
func (c *Conn) ToHertzError(err error) error {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ENOTCONN):
		return hertzerrors.ErrConnectionClosed
	case errors.As(err, &timeout) && timeout.Timeout():
		return hertzerrors.ErrTimeout
	}
	return err
}
