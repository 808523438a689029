package relay

import (
	"net/http"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/traffic"
	"github.com/pierhaven/pierhaven/internal/upstream"
)

// Call is one request of a caller, together with its route.
type Call struct {
	RequestMetadata
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	// Header holds the fields to forward.
	Header []upstream.Field
	Body   []byte
	// Arrived is the time at which the request had been read.
	Arrived time.Time
	// Version is that of the configuration by which the call is served.
	Version uint64
	Route   *traffic.Route
	Service *traffic.Service
	// Software is that of the replica that has begun the stream: all others that continue it run the same. It is set for a
	// call that takes up a stream, and once the first event of another one has come.
	Software origin.Software
	// Tenant is the name of the caller's tenant, empty if no API key was required.
	Tenant string
	// Number distinguishes calls with the same ID. A call that is forwarded keeps it.
	Number uint64
	// Forwarded is set for a call that a peer gateway has forwarded, with what has become of it there.
	Forwarded bool
	Progress  Progress
	// Runs is the number of replicas that have run the call or may have. It is set when Run has
	// returned.
	Runs int

	digestOnce sync.Once
	digest     poison.Digest
	partsOnce  sync.Once
	parts      []poison.Digest
}

// TargetHash implements poison.Request.
func (c *Call) TargetHash() uint32 { return poison.HashTarget(c.Host, c.Target) }

// Digest identifies the call by its content. It is computed on first use, since most calls never need
// it.
func (c *Call) Digest() poison.Digest {
	c.digestOnce.Do(func() {
		// A caller is not identified by the IP address of its request: one caller's requests come from
		// many machines and through proxies. When evidence was split by address, 32
		// replicas crashed.
		c.digest = poison.Content{Caller: c.Tenant, Method: c.Method, Host: c.Host, Target: c.Target, Body: c.Body}.Digest()
	})
	return c.digest
}

// Parts implements poison.Request.
func (c *Call) Parts() []poison.Digest {
	if c.Prompt == nil || len(c.Prompt.Parts) < 2 {
		return nil
	}
	c.partsOnce.Do(func() {
		shared := c.Prompt.Parts[:len(c.Prompt.Parts)-1]
		ids := make([]string, 0, min(len(shared), poison.MaximumParts))
		for _, part := range shared[:cap(ids)] {
			ids = append(ids, part.ID)
		}
		c.parts = poison.PartDigests(c.Service.Name, ids)
	})
	return c.parts
}

// partOf returns the ID of the part of the prompt with a digest, empty if there is none.
func (c *Call) partOf(digest poison.Digest) string {
	if c.Prompt == nil || !digest.IsPart() {
		return ""
	}
	for _, part := range c.Prompt.Parts {
		if found := poison.PartDigests(c.Service.Name, []string{part.ID}); len(found) > 0 && found[0] == digest {
			return part.ID
		}
	}
	return ""
}

// beginAt records the software that has begun the stream, unless the call takes up one that has begun before.
func (c *Call) beginAt(software origin.Software) {
	if !c.Software.IsSet() {
		c.Software = software
	}
}

// Responder takes the answer to a call. Exactly one of Answer, Refuse and Stream is called, once.
type Responder interface {
	// Answer writes a whole response.
	Answer(status int, header http.Header, body []byte)
	// Refuse writes the error response for err.
	Refuse(err error)
	// Stream begins a response whose body is sent in parts.
	Stream(status int, header http.Header) StreamWriter
	// OnWriteError sets a function that is called if a response of Answer or Refuse can't be written, which may be
	// after the call.
	OnWriteError(notify func(err error))
}

// StreamWriter writes the body of a stream.
type StreamWriter interface {
	// Send sends complete events at once. An error means that the caller has disconnected.
	Send(events []byte) error
	// End ends the stream as complete.
	End()
	// Abort ends the stream so that it does not look complete.
	Abort()
}

// deadline returns the time by which the call has to be answered: the earlier one of the caller's wait
// and the route's timeout.
func (c *Call) deadline() time.Time {
	wait := c.Wait
	if wait <= 0 {
		wait = defaultWait
	}
	if c.Route.Timeout > 0 && c.Route.Timeout < wait {
		wait = c.Route.Timeout
	}
	return c.Arrived.Add(wait)
}

// objective returns the target time to the first event: the route's, or a part of the time from arrival to the
// deadline if the route has none.
func (c *Call) objective() time.Duration {
	if c.Route.TargetLatency > 0 {
		return c.Route.TargetLatency
	}
	return c.deadline().Sub(c.Arrived) / defaultObjectiveDivisor
}

// defaultObjectiveDivisor divides the caller's wait to give the objective of a route without one.
const defaultObjectiveDivisor = 4

// defaultWait applies to callers that don't say how long they wait.
const defaultWait = 30 * time.Second
