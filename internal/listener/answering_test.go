package listener_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/listener"
)

// libraryTexts are the bodies with which the HTTP library refuses requests.
var libraryTexts = []string{"Request timeout", "Request Entity Too Large", "Request Header Fields Too Large", "Error when parsing request"}

// echo serves answers with the status and the body that a request names, in pieces if it says so.
func echo(t *testing.T) *listener.Listener {
	t.Helper()
	l, err := listener.Listen("127.0.0.1:0", 1000, func(failure.Kind) {})
	require.NoError(t, err)
	l.Limits = func() listener.Limits {
		return listener.Limits{HeaderBytes: 1000, BodyBytes: 100, HeaderTime: 20 * time.Second, IdleTime: 20 * time.Second}
	}
	engine := listener.NewServer(l, server.WithSenseClientDisconnection(true), server.WithExitWaitTime(0))
	engine.NoRoute(func(_ context.Context, request *app.RequestContext) {
		request.SetStatusCode(int(request.Request.Header.Peek("Status")[0]-'0')*100 + len(request.Request.Header.Peek("Text"))%20)
		body := string(request.Request.Header.Peek("Text"))
		if string(request.Request.Header.Peek("Pieces")) == "" {
			request.SetBodyString(body)
			return
		}
		request.SetBodyStream(io.MultiReader(strings.NewReader(body[:4]), strings.NewReader(body[4:])), -1)
	})
	go func() { _ = engine.Run() }()
	t.Cleanup(func() { _ = engine.Close() })
	return l
}

// An answer of a handler, with a replica's failure, was taken for a refusal of the library, and its caller told that the
// request had not run.
func TestAnswersWithTheTextsOfRefusalsArriveAsTheyAre(t *testing.T) {
	l := echo(t)
	connection := dial(t, l)
	reader := bufio.NewReader(connection)
	for _, method := range []string{http.MethodPost, http.MethodHead} {
		for _, text := range libraryTexts {
			for _, pieces := range []string{"", "yes"} {
				for _, status := range []int{4, 5} {
					_, err := fmt.Fprintf(connection, "%s / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nStatus: %d\r\nText: %s\r\nPieces: %s\r\n\r\n", method, status, text, pieces)
					require.NoError(t, err)
					answer, err := http.ReadResponse(reader, &http.Request{Method: method})
					require.NoError(t, err)
					body, err := io.ReadAll(answer.Body)
					require.NoError(t, err)
					assert.Equal(t, status*100+len(text)%20, answer.StatusCode)
					if method == http.MethodPost {
						assert.Equal(t, text, string(body))
					}
				}
			}
		}
	}
}

func TestRefusalsOfTheLibraryKeepTheirForm(t *testing.T) {
	for name, test := range map[string]struct {
		request string
		kind    failure.Kind
	}{
		"malformed":  {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n", failure.MalformedRequest},
		"long body":  {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n", failure.BodyTooLarge},
		"long field": {"POST / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 2000) + "\r\n\r\n", failure.HeadersTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			connection := dial(t, echo(t))
			require.NoError(t, connection.SetDeadline(time.Now().Add(20*time.Second)))
			reader := bufio.NewReader(connection)
			_, err := io.WriteString(connection, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nStatus: 4\r\nText: Request timeout\r\n\r\n")
			require.NoError(t, err)
			answer, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			_, err = io.ReadAll(answer.Body)
			require.NoError(t, err)
			_, err = io.WriteString(connection, test.request)
			require.NoError(t, err)
			answer, err = http.ReadResponse(reader, nil)
			require.NoError(t, err)
			body, err := io.ReadAll(answer.Body)
			require.NoError(t, err)
			assert.Contains(t, string(body), string(test.kind))
		})
	}
}
