package operatorapi_test

import (
	"bytes"
	"context"
	"encoding/json"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/ut"
	"github.com/cloudwego/hertz/pkg/route"
	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers/legacy"
	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/stretchr/testify/require"
	"net/http"
	"regexp"
	"sort"
	"strings"
	"testing"
	"time"
)

func loadPage(t *testing.T) *openapi3.T {
	t.Helper()
	page, err := openapi3.NewLoader().LoadFromData(operatorapi.OpenAPI)
	require.NoError(t, err)
	require.NoError(t, page.Validate(context.Background()))
	return page
}

var parameter = regexp.MustCompile(`:(\w+)`)

func TestThePageListsExactlyTheRoutes(t *testing.T) {
	var served, described []string
	for _, info := range newEngine(cannedBackend{}).Routes() {
		path := strings.TrimPrefix(info.Path, operatorapi.Prefix)
		served = append(served, info.Method+" "+parameter.ReplaceAllString(path, "{$1}"))
	}
	for path, item := range loadPage(t).Paths.Map() {
		for method := range item.Operations() {
			described = append(described, method+" "+path)
		}
	}
	sort.Strings(served)
	sort.Strings(described)
	require.Equal(t, served, described)
}

// exchanges has one well-formed call for each route.
var exchanges = []struct{ method, path, body string }{
	{"GET", "/openapi.yaml", ""},
	{"GET", "/status", ""},
	{"GET", "/zones", ""},
	{"GET", "/engines", ""},
	{"GET", "/gateways", ""},
	{"GET", "/configuration", ""},
	{"PUT", "/configuration", `{"request_id":"r","snapshot":{"policies":[{"name":"p","role_change":{}}]},"prune":true}`},
	{"GET", "/documents/policy", ""},
	{"GET", "/documents/policy/a", ""},
	{"PUT", "/documents/policy/a", `{"request_id":"r","operation":"submit","expected_revision":0,"document":{"name":"a"}}`},
	{"POST", "/documents/policy/a/withdraw", `{"request_id":"r","expected_revision":4}`},
	{"GET", "/changes/17?wait_ms=5", ""},
	{"POST", "/zones/z/engines/e/assign", `{"request_id":"r","target":{"role":"prefill"}}`},
	{"POST", "/zones/z/rollouts/m/revert", `{"request_id":"r"}`},
	{"POST", "/zones/z/gateways/g/forget", `{"request_id":"r","confirm_stopped":true}`},
	{"GET", "/groups/config/members", ""},
	{"POST", "/groups/config/members", `{"action":"replace","replica_id":3,"address":"127.0.0.1:9"}`},
	{"POST", "/log/dump", `{}`},
	{"GET", "/held-requests", ""},
	{"POST", "/held-requests/" + cannedDigest + "/release", `{}`},
}

func TestAnswersAndRefusalsHaveTheFormOfThePage(t *testing.T) {
	page := loadPage(t)
	pageRouter, err := legacy.NewRouter(page)
	require.NoError(t, err)
	require.Len(t, exchanges, len(newEngine(cannedBackend{}).Routes()))
	refusal := failure.New(failure.TenantLimit, "planted", failure.WithRetryAfter(time.Second))
	for _, backend := range []cannedBackend{{}, {err: refusal}} {
		engine := newEngine(backend)
		for _, exchange := range exchanges {
			response := perform(engine, exchange.method, operatorapi.Prefix+exchange.path, exchange.body)
			request, err := http.NewRequest(exchange.method, operatorapi.Prefix+exchange.path, strings.NewReader(exchange.body))
			require.NoError(t, err)
			request.Header.Set("Content-Type", "application/json")
			match, parameters, err := pageRouter.FindRoute(request)
			require.NoError(t, err, exchange.path)
			input := &openapi3filter.RequestValidationInput{Request: request, PathParams: parameters, Route: match,
				Options: &openapi3filter.Options{AuthenticationFunc: openapi3filter.NoopAuthenticationFunc}}
			require.NoError(t, openapi3filter.ValidateRequest(context.Background(), input), exchange.path)
			if exchange.path == "/openapi.yaml" {
				require.Equal(t, http.StatusOK, response.Code)
				continue
			}
			if backend.err == nil {
				require.Equal(t, http.StatusOK, response.Code, "%s %s: %s", exchange.method, exchange.path, response.Body)
			} else {
				require.Equal(t, http.StatusTooManyRequests, response.Code, exchange.path)
			}
			output := &openapi3filter.ResponseValidationInput{RequestValidationInput: input, Status: response.Code,
				Header: http.Header{"Content-Type": []string{"application/json"}}}
			output.SetBodyBytes(response.Body.Bytes())
			require.NoError(t, openapi3filter.ValidateResponse(context.Background(), output), "%s: %s", exchange.path, response.Body)
		}
	}
}

func perform(engine *route.Engine, method, path, body string, headers ...ut.Header) *ut.ResponseRecorder {
	return ut.PerformRequest(engine, method, path, &ut.Body{Body: bytes.NewBufferString(body), Len: len(body)}, headers...)
}

func TestBadCallsAreRefusedWithANamedKind(t *testing.T) {
	engine := newEngine(cannedBackend{})
	cases := map[string]struct {
		method, path, body string
		kind               failure.Kind
	}{
		"not JSON":                {"PUT", "/documents/policy/a", `{`, failure.MalformedRequest},
		"unknown field":           {"PUT", "/documents/policy/a", `{"request_id":"r","operation":"submit","document":{},"x":1}`, failure.MalformedRequest},
		"trailing data":           {"POST", "/log/dump", `{}`, ""},
		"two values":              {"POST", "/documents/policy/a/withdraw", `{"request_id":"r","expected_revision":1}{}`, failure.MalformedRequest},
		"no request id":           {"PUT", "/documents/policy/a", `{"operation":"submit","document":{}}`, failure.InvalidDocument},
		"unknown operation":       {"PUT", "/documents/policy/a", `{"request_id":"r","operation":"x","document":{}}`, failure.InvalidDocument},
		"withdraw without number": {"POST", "/documents/policy/a/withdraw", `{"request_id":"r"}`, failure.InvalidDocument},
		"unknown kind":            {"GET", "/documents/secret", ``, failure.NotFound},
		"unknown action":          {"POST", "/zones/z/engines/e/explode", `{"request_id":"r"}`, failure.NotFound},
		"assign without target":   {"POST", "/zones/z/engines/e/assign", `{"request_id":"r"}`, failure.InvalidDocument},
		"unknown rollout action":  {"POST", "/zones/z/rollouts/m/explode", `{"request_id":"r"}`, failure.NotFound},
		"rollout without id":      {"POST", "/zones/z/rollouts/m/halt", `{}`, failure.InvalidDocument},
		"unconfirmed forget":      {"POST", "/zones/z/gateways/g/forget", `{"request_id":"r"}`, failure.InvalidDocument},
		"replace without id":      {"POST", "/groups/config/members", `{"action":"replace","address":"127.0.0.1:9"}`, failure.InvalidDocument},
		"add without address":     {"POST", "/groups/config/members", `{"action":"add"}`, failure.InvalidDocument},
		"revision not a number":   {"GET", "/changes/latest", ``, failure.MalformedRequest},
		"negative wait":           {"GET", "/changes/1?wait_ms=-1", ``, failure.MalformedRequest},
	}
	for name, tried := range cases {
		t.Run(name, func(t *testing.T) {
			response := perform(engine, tried.method, operatorapi.Prefix+tried.path, tried.body)
			if tried.kind == "" {
				require.Equal(t, http.StatusOK, response.Code)
				return
			}
			require.Equal(t, failure.Lookup(tried.kind).Status, response.Code)
			var body failure.Body
			require.NoError(t, json.Unmarshal(response.Body.Bytes(), &body))
			require.Equal(t, tried.kind, body.Error.Type)
			require.Equal(t, failure.RanNo, body.Error.Ran)
		})
	}
}

func TestOnlyOperatorsAreServed(t *testing.T) {
	engine := newEngine(cannedBackend{}, operatorapi.HashToken("other"), operatorapi.HashToken("open sesame"))
	status := func(headers ...ut.Header) int {
		return perform(engine, "GET", operatorapi.Prefix+"/status", "", headers...).Code
	}
	require.Equal(t, http.StatusUnauthorized, status())
	require.Equal(t, http.StatusUnauthorized, status(ut.Header{Key: "Authorization", Value: "Bearer wrong"}))
	require.Equal(t, http.StatusUnauthorized, status(ut.Header{Key: "Authorization", Value: "open sesame"}))
	require.Equal(t, http.StatusOK, status(ut.Header{Key: "Authorization", Value: "Bearer open sesame"}))
}

func TestAFollowerNamesItsLeader(t *testing.T) {
	response := perform(newEngine(cannedBackend{err: rpc.NotLeader("127.0.0.1:7")}), "GET", operatorapi.Prefix+"/status", "")
	require.Equal(t, "127.0.0.1:7", response.Header().Get(operatorapi.HeaderLeader))
}

// panickingBackend has no implementation behind it.
type panickingBackend struct{ operatorapi.Backend }

func TestAPanicIsReportedAndAnswered(t *testing.T) {
	var reported any
	engine := route.NewEngine(config.NewOptions(nil))
	operatorapi.Mount(engine, operatorapi.Options{
		Backend: panickingBackend{},
		OnPanic: func(cause any) { reported = cause },
	})
	response := perform(engine, "GET", operatorapi.Prefix+"/zones", "")
	require.Equal(t, 500, response.Code)
	require.Contains(t, response.Body.String(), `"type":"internal"`)
	require.Contains(t, response.Body.String(), `"ran":"unknown"`)
	require.NotNil(t, reported)
}
