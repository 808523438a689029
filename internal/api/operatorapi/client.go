package operatorapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/pierhaven/pierhaven/internal/answer"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/poison"
)

// ClientOptions are the settings of a Client.
type ClientOptions struct {
	// Addresses are those of controllers (IP:port), tried in this order.
	Addresses []string
	// Token is the operator's; empty sends none.
	Token string
	// Timeout bounds one attempt. Default 10 s; a wait comes on top.
	Timeout time.Duration
	// Rounds is how often all addresses are tried. Default 2.
	Rounds int
}

const (
	defaultClientTimeout = 10 * time.Second
	defaultClientRounds  = 2
	pauseBetweenRounds   = 300 * time.Millisecond
	// maximumAnswerBytes bounds an answer.
	maximumAnswerBytes = 64 << 20
)

// Client is the operators' side of the interface. A change that may have been
// accepted although its answer was lost is sent again under the same request id.
type Client struct {
	http    *client.Client
	options ClientOptions
}

// NewClient returns a client for at least one controller.
func NewClient(options ClientOptions) (*Client, error) {
	if len(options.Addresses) == 0 {
		return nil, errors.New("no controller's address is given")
	}
	if options.Timeout == 0 {
		options.Timeout = defaultClientTimeout
	}
	if options.Rounds == 0 {
		options.Rounds = defaultClientRounds
	}
	httpClient, err := client.NewClient(
		client.WithDialer(answer.Dialer{Dialer: standard.NewDialer(), MaximumBody: maximumAnswerBytes}),
		client.WithDialTimeout(options.Timeout),
		client.WithDisablePathNormalizing(true),
		config.ClientOption{F: func(o *config.ClientOptions) { o.MaxResponseBodySize = maximumAnswerBytes }},
	)
	if err != nil {
		return nil, err
	}
	httpClient.SetRetryIfFunc(func(*protocol.Request, *protocol.Response, error) bool { return false })
	return &Client{http: httpClient, options: options}, nil
}

// Configuration reads the whole configuration.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	return get[Configuration](ctx, c, PathConfiguration)
}

// Documents lists the documents of a kind.
func (c *Client) Documents(ctx context.Context, kind dynamic.Kind) (DocumentList, error) {
	return get[DocumentList](ctx, c, fill(PathDocuments, string(kind)))
}

// Document shows one document.
func (c *Client) Document(ctx context.Context, kind dynamic.Kind, name string) (Document, error) {
	return get[Document](ctx, c, fill(PathDocument, string(kind), name))
}

// ChangeDocument submits or replaces a document.
func (c *Client) ChangeDocument(ctx context.Context, kind dynamic.Kind, name string, change DocumentChange) (ChangeResult, error) {
	return send[ChangeResult](ctx, c, http.MethodPut, fill(PathDocument, string(kind), name), change)
}

// WithdrawDocument takes a document out of force.
func (c *Client) WithdrawDocument(ctx context.Context, kind dynamic.Kind, name string, withdrawal DocumentWithdrawal) (ChangeResult, error) {
	return send[ChangeResult](ctx, c, http.MethodPost, fill(PathWithdraw, string(kind), name), withdrawal)
}

// ApplyConfiguration makes the configuration equal to a snapshot.
func (c *Client) ApplyConfiguration(ctx context.Context, change ConfigurationChange) (ApplyResult, error) {
	return send[ApplyResult](ctx, c, http.MethodPut, PathConfiguration, change)
}

// ChangeStatus says where a revision is in force. It returns early once the
// revision is in force everywhere, and after wait at the latest.
func (c *Client) ChangeStatus(ctx context.Context, revision uint64, wait time.Duration) (ChangeStatus, error) {
	wait = min(wait, MaximumWait)
	path := fill(PathChange, strconv.FormatUint(revision, 10)) + "?wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	return call[ChangeStatus](ctx, c, http.MethodGet, path, nil, c.options.Timeout+wait)
}

// Status is the account of the first controller that answers.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, PathStatus)
}

// Zones lists the zones.
func (c *Client) Zones(ctx context.Context) (ZoneList, error) {
	return get[ZoneList](ctx, c, PathZones)
}

// Engines lists the engines and application back ends of all zones.
func (c *Client) Engines(ctx context.Context) (EngineList, error) {
	return get[EngineList](ctx, c, PathEngines)
}

// Gateways lists the gateways of all zones.
func (c *Client) Gateways(ctx context.Context) (GatewayList, error) {
	return get[GatewayList](ctx, c, PathGateways)
}

// CommandEngine acts on an engine of a zone.
func (c *Client) CommandEngine(ctx context.Context, zone, engine string, action EngineAction, command EngineCommand) (CommandResult, error) {
	return send[CommandResult](ctx, c, http.MethodPost, fill(PathEngineCommand, zone, engine, string(action)), command)
}

// CommandRollout acts on the change of a model's version in a zone.
func (c *Client) CommandRollout(ctx context.Context, zone, model string, action RolloutAction, command RolloutCommand) (CommandResult, error) {
	return send[CommandResult](ctx, c, http.MethodPost, fill(PathRollout, zone, model, string(action)), command)
}

// ForgetGateway ends the session of a gateway that is known to be dead.
func (c *Client) ForgetGateway(ctx context.Context, zone, gateway string, command ForgetCommand) (CommandResult, error) {
	return send[CommandResult](ctx, c, http.MethodPost, fill(PathForgetGateway, zone, gateway), command)
}

// Members lists the members of a group.
func (c *Client) Members(ctx context.Context, group string) (MemberList, error) {
	return get[MemberList](ctx, c, fill(PathMembers, group))
}

// CommandMembers changes the members of a group.
func (c *Client) CommandMembers(ctx context.Context, group string, command MemberCommand) (MemberList, error) {
	return send[MemberList](ctx, c, http.MethodPost, fill(PathMembers, group), command)
}

// HeldRequests lists the requests of the controller's zone that are held.
func (c *Client) HeldRequests(ctx context.Context) (HeldList, error) {
	return get[HeldList](ctx, c, PathHeldRequests)
}

// ReleaseRequest lets a request go that is held.
func (c *Client) ReleaseRequest(ctx context.Context, digest poison.Digest) error {
	_, err := send[struct{}](ctx, c, http.MethodPost, fill(PathHeldRequest, digest.String()), struct{}{})
	return err
}

// DumpLog writes the log ring of the first controller that answers.
func (c *Client) DumpLog(ctx context.Context) (LogDump, error) {
	return send[LogDump](ctx, c, http.MethodPost, PathLogDump, struct{}{})
}

// fill puts values in the place of a path's parameters.
func fill(path string, values ...string) string {
	parts := strings.Split(path, "/")
	for index, part := range parts {
		if strings.HasPrefix(part, ":") {
			parts[index] = url.PathEscape(values[0])
			values = values[1:]
		}
	}
	return strings.Join(parts, "/")
}

func get[Answer any](ctx context.Context, c *Client, path string) (Answer, error) {
	return call[Answer](ctx, c, http.MethodGet, path, nil, c.options.Timeout)
}

func send[Answer any](ctx context.Context, c *Client, method, path string, body any) (Answer, error) {
	data, err := json.Marshal(body)
	if err != nil {
		var none Answer
		return none, failure.Wrap(err, failure.MalformedRequest)
	}
	return call[Answer](ctx, c, method, path, data, c.options.Timeout)
}

// call tries the controllers in turn until one gives an answer that another
// would not better.
func call[Answer any](ctx context.Context, c *Client, method, path string, body []byte, timeout time.Duration) (Answer, error) {
	var answer Answer
	data, err := c.tryAll(ctx, method, path, body, timeout)
	if err != nil {
		return answer, err
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, failure.Wrap(fmt.Errorf("answer of the controller: %w", err), failure.Internal)
	}
	return answer, nil
}

// tryAll keeps in mind whether any attempt may have been carried out: a later
// refusal of another controller must not hide that.
func (c *Client) tryAll(ctx context.Context, method, path string, body []byte, timeout time.Duration) ([]byte, error) {
	var last, unknown error
	searched := 0
	for round := range c.options.Rounds {
		if searched == len(c.options.Addresses) || round > 0 && !sleep(ctx, pauseBetweenRounds) {
			break
		}
		searched = 0
		for _, address := range c.options.Addresses {
			data, answered, err := c.attempt(ctx, address, method, path, body, timeout)
			if err == nil || !worthAnother(err) {
				return data, err
			}
			last = err
			if kind := failure.KindOf(err); answered && (kind == failure.NoQuorum || kind == failure.OutcomeUnknown) {
				// The controller has searched for a leader by itself.
				searched++
			}
			if failure.AnswerFor(err).Ran != failure.RanNo {
				unknown = err
			}
		}
	}
	if unknown != nil && method != http.MethodGet {
		return nil, unknown
	}
	return nil, last
}

func sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}

// worthAnother reports whether another controller may know better.
func worthAnother(err error) bool {
	switch failure.KindOf(err) {
	case failure.NotLeader, failure.NoQuorum, failure.NotReady, failure.Leaving,
		failure.OutcomeUnknown, failure.StorageFailed, failure.Internal:
		return true
	}
	return false
}

// attempt asks one controller; answered says whether that has given the error.
func (c *Client) attempt(ctx context.Context, address, method, path string, body []byte, timeout time.Duration) (data []byte, answered bool, err error) {
	request := protocol.AcquireRequest()
	response := protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(method)
	request.SetRequestURI("http://" + address + Prefix + path)
	request.SetOptions(config.WithRequestTimeout(timeout))
	if c.options.Token != "" {
		request.Header.Set("Authorization", bearerPrefix+c.options.Token)
	}
	if body != nil {
		request.Header.SetContentTypeBytes([]byte("application/json"))
		request.SetBody(body)
	}
	if err := c.http.Do(ctx, request, response); err != nil {
		return nil, false, failure.Wrap(fmt.Errorf("controller %s: %w", address, err), failure.OutcomeUnknown)
	}
	data = append([]byte(nil), response.Body()...)
	if response.StatusCode() == http.StatusOK {
		return data, true, nil
	}
	return nil, true, refusal(address, response.StatusCode(), data)
}

// refusal turns the body of a refused call into an error.
func refusal(address string, status int, data []byte) error {
	var body failure.Body
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Type == "" {
		return failure.New(failure.OutcomeUnknown, fmt.Sprintf("controller %s: HTTP status %d without a readable error", address, status))
	}
	wrappers := []merry.Wrapper{failure.WithRan(body.Error.Ran)}
	if body.Error.RetryAfterMillis > 0 {
		wrappers = append(wrappers, failure.WithRetryAfter(time.Duration(body.Error.RetryAfterMillis)*time.Millisecond))
	}
	return failure.New(body.Error.Type, body.Error.Message, wrappers...)
}
