package listener

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/chunked"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/membudget"
)

const (
	// keptPerHeadByte and keptPerLine are what a head costs beyond a first buffer: its copies here and in the HTTP library, and the
	// parsed fields.
	keptPerHeadByte = 5
	keptPerLine     = 128
	// closingHeadBytes of a head have its connection end with the answer: the library's buffers stay as large as the connection's
	// largest head.
	closingHeadBytes = 16 << 10
	// firstBodyBytes is the first size of the buffer of a body that is not announced as smaller.
	firstBodyBytes = 16 << 10
	scratchBytes   = 4 << 10
	// roomWaitShare of the time for a head is for how long a request waits for room.
	roomWaitShare = 0.5
)

// emptyChunks are what the library gets in the place of a chunked body.
const emptyChunks = "0\r\n\r\n"

const continueAnswer = "HTTP/1.1 100 Continue\r\n\r\n"

// scratch has buffers of one size for the framing of chunked bodies.
var scratch = sync.Pool{New: func() any { return new([scratchBytes]byte) }}

// receive reads the next request whole. Its head is ready for the library then, and its body is set. buffer is where the library wants
// the head, and holds it if it is small.
func (c *connection) receive(buffer []byte) error {
	limits := c.listener.limits()
	c.begin()
	head, rest, err := c.receiveHead(buffer, limits)
	if err != nil {
		return err
	}
	framing, err := readFraming(head.fields())
	if err != nil {
		return err
	}
	c.body, c.ready = nil, head.bytes()
	hasBody := framing.length > 0 || framing.isChunked
	if !hasBody {
		c.pending = clone(rest)
		c.handOver()
		return nil
	}
	if err := c.receiveBody(rest, framing, limits); err != nil {
		return err
	}
	if framing.isChunked {
		c.ready = append(c.ready[:len(c.ready):len(c.ready)], emptyChunks...)
	}
	c.handOver()
	return nil
}

// begin waits for the next request.
func (c *connection) begin() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.received.Store(0)
	if c.phase > phaseIdle {
		c.phase, c.since = phaseIdle, time.Now()
	}
	c.ending, c.lastLooked = endNone, false
	_ = c.Conn.SetReadDeadline(time.Time{})
}

// receivedHead is the head of a request, with the empty lines before it.
type receivedHead struct {
	headScanner
	store []byte
	end   int
}

func (h *receivedHead) bytes() []byte  { return h.store[h.start:h.end] }
func (h *receivedHead) fields() []byte { return h.store[h.fieldsStart:h.end] }

// receiveHead reads a head, and returns it with the bytes that came behind it.
func (c *connection) receiveHead(buffer []byte, limits Limits) (head receivedHead, rest []byte, err error) {
	head.store = buffer[:0:len(buffer)]
	for head.end == 0 {
		if len(head.store) == cap(head.store) {
			if head.store, err = c.growHead(&head, limits); err != nil {
				return head, nil, err
			}
		}
		before := len(head.store)
		count, err := c.read(head.store[before:cap(head.store)])
		if err != nil {
			return head, nil, err
		}
		isFirst := c.received.Add(int64(count)) == int64(count)
		head.store = head.store[:before+count]
		head.end = head.scan(head.store)
		if isFirst && head.end == 0 {
			c.enter(phaseHead)
		}
		size := head.end
		if size == 0 {
			size = len(head.store)
		}
		if head.exceeds(size, limits.HeaderBytes) {
			return head, nil, failure.New(failure.HeadersTooLarge, "the head of the request is over the limit")
		}
	}
	if err := c.chargeHead(&head, limits); err != nil {
		return head, nil, err
	}
	return head, head.store[head.end:], nil
}

// growHead returns the head in a buffer twice as large.
func (c *connection) growHead(head *receivedHead, limits Limits) ([]byte, error) {
	size := 2 * max(cap(head.store), scratchBytes/2)
	if err := c.reserve(int64(size)*keptPerHeadByte+int64(head.lines)*keptPerLine, limits); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, size), head.store...), nil
}

// chargeHead keeps what a large head, or one of many lines, costs until the connection ends.
func (c *connection) chargeHead(head *receivedHead, limits Limits) error {
	size := len(head.bytes())
	if size <= scratchBytes && head.lines <= scratchBytes/keptPerLine {
		if c.headBytes == 0 {
			return nil
		}
		return c.reserve(c.headBytes, limits)
	}
	c.headBytes = max(c.headBytes, int64(size)*keptPerHeadByte+int64(head.lines)*keptPerLine)
	return c.reserve(c.headBytes, limits)
}

// receiveBody reads the body whose first bytes have come with the head.
func (c *connection) receiveBody(first []byte, framing bodyFraming, limits Limits) error {
	if framing.length > c.largestBody(framing, limits) {
		return failure.New(failure.BodyTooLarge, "the body is over the limit")
	}
	if framing.isExpected && len(first) == 0 {
		if _, err := c.writeSteadily([]byte(continueAnswer)); err != nil {
			return err
		}
	}
	if int64(len(first)) >= framing.length && !framing.isChunked {
		return c.takeSmallBody(first, framing, limits)
	}
	c.enter(phaseBody)
	c.progress(0)
	memory := c.listener.memory
	memory.enter(c)
	defer memory.leave(c)
	body := receivedBody{connection: c, limits: limits, most: c.largestBody(framing, limits)}
	var err error
	if framing.isChunked {
		err = body.receiveChunks(first)
	} else {
		body.isAnnounced, body.most = true, framing.length
		err = body.receiveAnnounced(first)
	}
	if err != nil {
		return err
	}
	c.body = body.data
	return c.reserve(c.headBytes+int64(cap(body.data))*c.listener.keptPerBodyByte(), limits)
}

// largestBody returns the size of the largest body that is taken: the limit, or what there is memory for while one buffer grows into the
// other.
func (c *connection) largestBody(framing bodyFraming, limits Limits) int64 {
	largest := c.listener.memory.largest(c.listener.Internal) - c.headBytes
	growing := largest * 2 / 3
	if !framing.isChunked {
		growing = largest * (jumpDivisor / 2) / (jumpDivisor/2 + 1)
	}
	return min(int64(limits.BodyBytes), growing, largest/c.listener.keptPerBodyByte())
}

// takeSmallBody takes a body that has come with its head. It is no larger than the first buffer, for which the places are counted, unless
// the head was large.
func (c *connection) takeSmallBody(first []byte, framing bodyFraming, limits Limits) error {
	if size := framing.length * c.listener.keptPerBodyByte(); size > scratchBytes || c.headBytes > 0 {
		if err := c.reserve(c.headBytes+size, limits); err != nil {
			return err
		}
	}
	c.body, c.pending = clone(first[:framing.length]), clone(first[framing.length:])
	return nil
}

// reserve sets what is kept of the request, before it is.
func (c *connection) reserve(size int64, limits Limits) error {
	return c.listener.memory.resize(c, size, time.Duration(roomWaitShare*float64(limits.HeaderTime)))
}

// read reads what was pending, or from the network.
func (c *connection) read(buffer []byte) (int, error) {
	if len(c.pending) > 0 {
		count := copy(buffer, c.pending)
		c.pending = c.pending[count:]
		if len(c.pending) == 0 {
			c.pending = nil
		}
		return count, nil
	}
	count, err := c.Conn.Read(buffer)
	if count == 0 && err != nil && c.mayHaveArrived() {
		count, err = c.Conn.Read(buffer)
	}
	if count > 0 {
		return count, nil
	}
	return 0, err
}

// receivedBody is a body while it comes.
type receivedBody struct {
	connection *connection
	limits     Limits
	data       []byte
	// most is the length of a body that is announced, or the limit of others.
	most        int64
	isAnnounced bool
}

// jumpDivisor: once so large a part of an announced body has come, the buffer grows to the whole length.
const jumpDivisor = 8

// grow makes room for more bytes. While one buffer grows into the other, both are kept.
func (b *receivedBody) grow(count int) error {
	needed := len(b.data) + count
	if needed <= cap(b.data) {
		return nil
	}
	if int64(needed) > b.most {
		return failure.New(failure.BodyTooLarge, "the body is over the limit")
	}
	size := int(min(int64(max(2*cap(b.data), needed, firstBodyBytes)), b.most))
	if b.isAnnounced && jumpDivisor*int64(cap(b.data)) >= b.most {
		size = int(b.most)
	}
	c := b.connection
	if err := c.reserve(c.headBytes+int64(cap(b.data)+size), b.limits); err != nil {
		return err
	}
	b.data = append(make([]byte, 0, size), b.data...)
	return c.reserve(c.headBytes+int64(size), b.limits)
}

// add takes bytes in.
func (b *receivedBody) add(bytes []byte) error {
	if err := b.grow(len(bytes)); err != nil {
		return err
	}
	b.data = append(b.data, bytes...)
	return nil
}

// fill reads up to a number of bytes from the network into the buffer.
func (b *receivedBody) fill(most int64) (int, error) {
	if len(b.data) == cap(b.data) {
		if err := b.grow(1); err != nil {
			return 0, err
		}
	}
	free := b.data[len(b.data):cap(b.data)]
	count, err := b.connection.read(free[:min(int64(len(free)), most)])
	b.data = b.data[:len(b.data)+count]
	b.connection.progress(count)
	return count, err
}

func (b *receivedBody) receiveAnnounced(first []byte) error {
	if err := b.add(first); err != nil {
		return err
	}
	for int64(len(b.data)) < b.most {
		if _, err := b.fill(b.most - int64(len(b.data))); err != nil {
			return err
		}
	}
	return nil
}

func (b *receivedBody) receiveChunks(first []byte) error {
	var decoder chunked.Decoder
	rest, err := b.decode(&decoder, first)
	buffer := scratch.Get().(*[scratchBytes]byte)
	defer scratch.Put(buffer)
	for err == nil && !decoder.Ended() {
		if left := decoder.Left(); left >= scratchBytes {
			var count int
			if count, err = b.fill(left); err == nil {
				decoder.Took(int64(count))
			}
			continue
		}
		var count int
		if count, err = b.connection.read(buffer[:]); err == nil {
			rest, err = b.decode(&decoder, buffer[:count])
		}
	}
	b.connection.pending = clone(rest)
	return err
}

// decode takes in bytes of a chunked body, and returns those that follow its end.
func (b *receivedBody) decode(decoder *chunked.Decoder, input []byte) (rest []byte, err error) {
	for len(input) > 0 && !decoder.Ended() {
		framing, data, err := decoder.Step(input)
		if err != nil {
			return nil, failure.Wrap(err, failure.MalformedRequest)
		}
		input = input[framing:]
		if decoder.Left() > b.most-int64(len(b.data)) {
			return nil, failure.New(failure.BodyTooLarge, "the body is over the limit")
		}
		if decoder.TrailerBytes() > b.limits.HeaderBytes {
			return nil, failure.New(failure.HeadersTooLarge, "the trailers of the request are over the limit")
		}
		if data > 0 {
			if err := b.add(input[:data]); err != nil {
				return nil, err
			}
			decoder.Took(int64(data))
			b.connection.progress(data)
			input = input[data:]
		}
	}
	return input, nil
}

// giveUp answers a request that is not whole, if something of it has come, and gives back what was kept of it.
func (c *connection) giveUp(err error) {
	begun := c.received.Load() > 0
	c.body, c.ready, c.pending = nil, nil, nil
	kind := c.refusalOf(err)
	c.listener.memory.release(c)
	if kind == "" || !begun {
		return
	}
	_ = c.refuse(kind)
}

// refusalOf returns the kind of failure that is answered, empty for a connection that is just closed.
func (c *connection) refusalOf(err error) failure.Kind {
	switch c.ended() {
	case endSlow:
		return failure.RequestTooSlow
	case endNoRoom:
		return failure.NoMemory
	case endIdle, endNoPlace:
		return ""
	}
	switch {
	case errors.Is(err, membudget.ErrNoRoom):
		return failure.NoMemory
	case errors.Is(err, io.EOF):
		return failure.MalformedRequest
	}
	if kind := failure.KindOf(err); kind != failure.Internal {
		return kind
	}
	return ""
}

func clone(bytes []byte) []byte {
	if len(bytes) == 0 {
		return nil
	}
	return append([]byte(nil), bytes...)
}
