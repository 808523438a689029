package answer

// output are the bytes of a request that were not sent yet.
type output struct{ blocks [][]byte }

// outputBlockBytes is the least size of a block; larger pieces that are given are not copied.
const outputBlockBytes = 4 << 10

// extend returns room for a number of bytes, which stays where it is until all is sent.
func (o *output) extend(count int) []byte {
	if last := len(o.blocks) - 1; last >= 0 {
		if block := o.blocks[last]; cap(block)-len(block) >= count {
			o.blocks[last] = block[:len(block)+count]
			return o.blocks[last][len(block):]
		}
	}
	block := make([]byte, count, max(count, outputBlockBytes))
	o.blocks = append(o.blocks, block)
	return block
}

// Malloc implements network.Writer.
func (c *Conn) Malloc(count int) ([]byte, error) {
	if err := c.ask(); err != nil {
		return nil, err
	}
	return c.output.extend(count), nil
}

// WriteBinary implements network.Writer.
func (c *Conn) WriteBinary(data []byte) (int, error) {
	if err := c.ask(); err != nil {
		return 0, err
	}
	if len(data) < outputBlockBytes {
		return copy(c.output.extend(len(data)), data), nil
	}
	// Its capacity is cut, so that nothing is added to it.
	c.output.blocks = append(c.output.blocks, data[:len(data):len(data)])
	return len(data), nil
}

// Flush implements network.Writer.
func (c *Conn) Flush() error { return c.Send().Wait() }

// Send writes the request that was begun. What was given to WriteBinary has to stay as it is until nothing is written any more.
func (c *Conn) Send() *Sending {
	blocks := c.output.blocks
	c.output.blocks = nil
	c.sending = Send(c.Conn, blocks...)
	return c.sending
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	if _, err := c.WriteBinary(data); err != nil {
		return 0, err
	}
	if err := c.Flush(); err != nil {
		return 0, err
	}
	return len(data), nil
}

// ask notes that a request begins. It returns ErrUnasked if bytes have come behind the answer to the one before, which would be taken for its answer.
func (c *Conn) ask() error {
	if c.asked {
		return nil
	}
	if !c.isUsed {
		c.isUsed, c.asked = true, true
		return nil
	}
	if c.body != nil || c.Len() > 0 || c.reader.Buffered() > 0 {
		return ErrUnasked
	}
	// An error, or the end of the connection, is met by the write.
	if count, _ := Arrived(c.Conn); count > 0 {
		return ErrUnasked
	}
	c.asked = true
	return nil
}
