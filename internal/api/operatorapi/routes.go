package operatorapi

import (
	"context"
	_ "embed" // for the OpenAPI page
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/route"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/rpc"
)

// OpenAPI is the page that describes the interface, in YAML.
//
//go:embed openapi.yaml
var OpenAPI []byte

// MaximumWait bounds the time that a reading of a change's status may wait.
const MaximumWait = 30 * time.Second

// maximumDocumentBytes bounds the body of a call; the server's own bound may
// be higher because of the internal calls.
const maximumDocumentBytes = 4 << 20

// Options describe how the routes are served.
type Options struct {
	Backend Backend
	// TokenHashes are the SHA-256 hashes (hex) of the operators' tokens. With
	// none every caller is an operator.
	TokenHashes []string
	// OnFailure is told of every refusal; it may be nil.
	OnFailure func(kind failure.Kind)
	// OnPanic is told of a panic in a handler, on its stack; it may be nil.
	OnPanic func(cause any)
}

type routes struct {
	backend   Backend
	onFailure func(kind failure.Kind)
	onPanic   func(cause any)
}

// Mount adds the operators' routes to a server's routes.
func Mount(router route.IRouter, options Options) {
	r := routes{backend: options.Backend, onFailure: options.OnFailure, onPanic: options.OnPanic}
	if r.onFailure == nil {
		r.onFailure = func(failure.Kind) {}
	}
	if r.onPanic == nil {
		r.onPanic = func(any) {}
	}
	group := router.Group(Prefix, authenticate(options.TokenHashes, r.refuse))
	group.GET(PathOpenAPI, serveOpenAPI)
	group.GET(PathStatus, serve(r, ignoreCall(r.backend.Status)))
	group.GET(PathZones, serve(r, ignoreCall(r.backend.Zones)))
	group.GET(PathEngines, serve(r, ignoreCall(r.backend.Engines)))
	group.GET(PathGateways, serve(r, ignoreCall(r.backend.Gateways)))
	group.GET(PathConfiguration, serve(r, ignoreCall(r.backend.Configuration)))
	group.PUT(PathConfiguration, serve(r, withBody(r.applyConfiguration)))
	group.GET(PathDocuments, serve(r, r.listDocuments))
	group.GET(PathDocument, serve(r, r.showDocument))
	group.PUT(PathDocument, serve(r, withBody(r.changeDocument)))
	group.POST(PathWithdraw, serve(r, withBody(r.withdrawDocument)))
	group.GET(PathChange, serve(r, r.changeStatus))
	group.POST(PathEngineCommand, serve(r, withBody(r.commandEngine)))
	group.POST(PathRollout, serve(r, withBody(r.commandRollout)))
	group.POST(PathForgetGateway, serve(r, withBody(r.forgetGateway)))
	group.GET(PathMembers, serve(r, r.members))
	group.POST(PathMembers, serve(r, withBody(r.commandMembers)))
	group.GET(PathHeldRequests, serve(r, ignoreCall(r.heldRequests)))
	group.POST(PathHeldRequest, serve(r, r.releaseRequest))
	group.POST(PathLogDump, serve(r, ignoreCall(r.backend.DumpLog)))
}

func serveOpenAPI(_ context.Context, call *app.RequestContext) {
	call.Data(http.StatusOK, "application/yaml", OpenAPI)
}

// answerer works out the answer to a call.
type answerer[Answer any] func(ctx context.Context, call *app.RequestContext) (Answer, error)

func serve[Answer any](r routes, answer answerer[Answer]) app.HandlerFunc {
	return func(ctx context.Context, call *app.RequestContext) {
		defer r.recover(call)
		result, err := answer(ctx, call)
		if err != nil {
			r.refuse(call, err)
			return
		}
		call.JSON(http.StatusOK, result)
	}
}

// recover answers a call whose handler panicked; what it had done is unknown.
func (r routes) recover(call *app.RequestContext) {
	if cause := recover(); cause != nil {
		r.onPanic(cause)
		r.refuse(call, failure.New(failure.Internal, "an unexpected error in the controller"))
	}
}

func ignoreCall[Answer any](answer func(ctx context.Context) (Answer, error)) answerer[Answer] {
	return func(ctx context.Context, _ *app.RequestContext) (Answer, error) { return answer(ctx) }
}

func withBody[Body, Answer any](
	answer func(ctx context.Context, call *app.RequestContext, body Body) (Answer, error),
) answerer[Answer] {
	return func(ctx context.Context, call *app.RequestContext) (Answer, error) {
		var body Body
		if err := DecodeBody(call.Request.Body(), &body); err != nil {
			var none Answer
			return none, err
		}
		return answer(ctx, call, body)
	}
}

func (r routes) refuse(call *app.RequestContext, err error) {
	answer := failure.AnswerFor(err)
	r.onFailure(answer.Kind)
	if leader := rpc.LeaderAddress(err); leader != "" {
		call.Header(HeaderLeader, leader)
	}
	if answer.RetryAfter > 0 {
		seconds := (answer.RetryAfter + time.Second - 1) / time.Second
		call.Header("Retry-After", strconv.Itoa(int(seconds)))
	}
	call.AbortWithStatusJSON(answer.Status, failure.BodyFor(answer, ""))
}

func (r routes) heldRequests(ctx context.Context) (HeldList, error) {
	held, err := r.backend.HeldRequests(ctx)
	return HeldList{Requests: held}, err
}

func (r routes) releaseRequest(ctx context.Context, call *app.RequestContext) (struct{}, error) {
	digest, err := poison.ParseDigest(call.Param("digest"))
	if err != nil {
		return struct{}{}, failure.Wrap(err, failure.MalformedRequest)
	}
	return struct{}{}, r.backend.ReleaseRequest(ctx, digest)
}

func (r routes) applyConfiguration(ctx context.Context, _ *app.RequestContext, change ConfigurationChange) (ApplyResult, error) {
	return r.backend.ApplyConfiguration(ctx, change)
}

func (r routes) listDocuments(ctx context.Context, call *app.RequestContext) (DocumentList, error) {
	kind, err := parseKind(call.Param("kind"))
	if err != nil {
		return DocumentList{}, err
	}
	return r.backend.Documents(ctx, kind)
}

func (r routes) showDocument(ctx context.Context, call *app.RequestContext) (Document, error) {
	kind, err := parseKind(call.Param("kind"))
	if err != nil {
		return Document{}, err
	}
	return r.backend.Document(ctx, kind, call.Param("name"))
}

func (r routes) changeDocument(ctx context.Context, call *app.RequestContext, change DocumentChange) (ChangeResult, error) {
	kind, err := parseKind(call.Param("kind"))
	if err != nil {
		return ChangeResult{}, err
	}
	return r.backend.ChangeDocument(ctx, kind, call.Param("name"), change)
}

func (r routes) withdrawDocument(ctx context.Context, call *app.RequestContext, withdrawal DocumentWithdrawal) (ChangeResult, error) {
	kind, err := parseKind(call.Param("kind"))
	if err != nil {
		return ChangeResult{}, err
	}
	return r.backend.WithdrawDocument(ctx, kind, call.Param("name"), withdrawal)
}

func (r routes) changeStatus(ctx context.Context, call *app.RequestContext) (ChangeStatus, error) {
	revision, err := parseNumber("revision", call.Param("revision"))
	if err != nil {
		return ChangeStatus{}, err
	}
	waitMillis, err := parseNumber("wait_ms", call.DefaultQuery("wait_ms", "0"))
	if err != nil {
		return ChangeStatus{}, err
	}
	wait := min(time.Duration(min(waitMillis, uint64(MaximumWait.Milliseconds())))*time.Millisecond, MaximumWait)
	return r.backend.ChangeStatus(ctx, revision, wait)
}

func (r routes) commandEngine(ctx context.Context, call *app.RequestContext, command EngineCommand) (CommandResult, error) {
	action := EngineAction(call.Param("action"))
	switch action {
	case ActionDrain, ActionUndrain:
	case ActionAssign:
		if command.Target == nil {
			return CommandResult{}, failure.New(failure.InvalidDocument, "target: is needed by assign")
		}
	default:
		return CommandResult{}, failure.New(failure.NotFound, "there is no action "+strconv.Quote(string(action)))
	}
	return r.backend.CommandEngine(ctx, call.Param("zone"), call.Param("engine"), action, command)
}

func (r routes) commandRollout(ctx context.Context, call *app.RequestContext, command RolloutCommand) (CommandResult, error) {
	action := RolloutAction(call.Param("action"))
	switch action {
	case RolloutHalt, RolloutResume, RolloutRevert:
		return r.backend.CommandRollout(ctx, call.Param("zone"), call.Param("model"), action, command)
	default:
		return CommandResult{}, failure.New(failure.NotFound, "there is no action "+strconv.Quote(string(action)))
	}
}

func (r routes) forgetGateway(ctx context.Context, call *app.RequestContext, command ForgetCommand) (CommandResult, error) {
	if !command.ConfirmStopped {
		return CommandResult{}, failure.New(failure.InvalidDocument, "confirm_stopped: must be true")
	}
	return r.backend.ForgetGateway(ctx, call.Param("zone"), call.Param("gateway"), command)
}

func (r routes) members(ctx context.Context, call *app.RequestContext) (MemberList, error) {
	return r.backend.Members(ctx, call.Param("group"))
}

func (r routes) commandMembers(ctx context.Context, call *app.RequestContext, command MemberCommand) (MemberList, error) {
	if err := checkMemberCommand(command); err != nil {
		return MemberList{}, err
	}
	return r.backend.CommandMembers(ctx, call.Param("group"), command)
}

func parseKind(text string) (dynamic.Kind, error) {
	switch kind := dynamic.Kind(text); kind {
	case dynamic.KindPolicy, dynamic.KindTenant, dynamic.KindModel, dynamic.KindApplication:
		return kind, nil
	}
	return "", failure.New(failure.NotFound, "there is no kind of document "+strconv.Quote(text))
}

func parseNumber(name, text string) (uint64, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, failure.New(failure.MalformedRequest, name+": not a number: "+strconv.Quote(text))
	}
	return number, nil
}
