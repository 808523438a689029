package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// patience bounds every wait of a test; nothing is concluded from its length.
const patience = 2 * time.Minute

// startSmall runs the small test deployment as real processes.
func startSmall(t *testing.T) *Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	binaries := builtBinaries(t)
	deployment, err := LoadDeployment(filepath.Join("testdata", "small"))
	require.NoError(t, err)
	running, err := Start(Options{Deployment: deployment, Binaries: binaries, Folder: t.TempDir()})
	require.NoError(t, err)
	t.Cleanup(func() { _ = running.Kill() })
	_, err = running.SetUp(ctx)
	require.NoError(t, err)
	return running
}

// openAIClient is a client as the users would write it: plain HTTP, with no
// knowledge of pierhaven.
type openAIClient struct {
	base string
	key  string
}

func (c openAIClient) post(t *testing.T, path, body string, headers map[string]string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, c.base+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	answer, err := (&http.Client{Timeout: patience}).Do(request)
	require.NoError(t, err)
	t.Cleanup(func() { _ = answer.Body.Close() })
	return answer
}

// streamChunk is what an OpenAI client reads of a stream's event.
type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// stream reads a streamed chat to its end; after each piece it calls during.
func (c openAIClient) stream(t *testing.T, tokens int, during func(pieces int)) string {
	t.Helper()
	body := fmt.Sprintf(`{"model":"address-reading","stream":true,"max_tokens":%d,`+
		`"messages":[{"role":"user","content":"Kaatstraat 12 te Utrecht"}]}`, tokens)
	answer := c.post(t, "/v1/chat/completions", body, nil)
	require.Equal(t, http.StatusOK, answer.StatusCode)
	var text strings.Builder
	pieces, finished := 0, false
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			require.True(t, finished, "the stream ended without a finish reason")
			return text.String()
		}
		var chunk streamChunk
		require.NoError(t, json.Unmarshal([]byte(data), &chunk), data)
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
			finished = finished || choice.FinishReason != nil
		}
		pieces++
		during(pieces)
	}
	require.Fail(t, "the stream broke off", "after %d pieces: %v", pieces, lines.Err())
	return ""
}

// killBusyEngine kills the engine that has a request.
func killBusyEngine(t *testing.T, running *Fleet) {
	t.Helper()
	for _, process := range running.OfKind(KindEngine, "") {
		answer, err := http.Get("http://" + process.Address + engineapi.PathState)
		require.NoError(t, err)
		var state engineapi.State
		require.NoError(t, json.NewDecoder(answer.Body).Decode(&state))
		require.NoError(t, answer.Body.Close())
		if state.Running > 0 {
			require.NoError(t, process.Kill())
			return
		}
	}
	require.Fail(t, "no engine has a request")
}

func TestStreamIsTheSameWithAndWithoutACrashOfItsEngine(t *testing.T) {
	const tokens, killAfter = 300, 25
	running := startSmall(t)
	client := openAIClient{base: "http://" + running.OfKind(KindGateway, "")[0].Address, key: "test-key-depot"}
	undisturbed := client.stream(t, tokens, func(int) {})
	require.NotEmpty(t, undisturbed)
	killed := false
	disturbed := client.stream(t, tokens, func(pieces int) {
		if pieces == killAfter {
			killBusyEngine(t, running)
			killed = true
		}
	})
	require.True(t, killed)
	assert.Equal(t, undisturbed, disturbed)
}

func TestSmallFleetServesAndStopsByPlan(t *testing.T) {
	running := startSmall(t)
	client := openAIClient{base: "http://" + running.OfKind(KindGateway, "")[0].Address, key: "test-key-depot"}

	label := client.post(t, "/v1/applications/floor/label-reprint", `{"parcel":"3S1"}`, nil)
	refusal, err := io.ReadAll(label.Body)
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadRequest, label.StatusCode)
	assert.Contains(t, string(refusal), "idempotency_key_missing")

	code := client.post(t, "/v1/applications/floor/sorting-code", `{"parcel":"3S1"}`, nil)
	answered, err := io.ReadAll(code.Body)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, code.StatusCode, "%s", answered)

	wrongKey := openAIClient{base: client.base, key: "wrong"}
	refused := wrongKey.post(t, "/v1/chat/completions", `{"model":"address-reading","messages":[{"role":"user","content":"x"}]}`, nil)
	assert.Equal(t, http.StatusUnauthorized, refused.StatusCode)

	assert.NotEmpty(t, client.stream(t, 10, func(int) {}))
	assertShownCommandWorks(t, running)
	assert.NoError(t, running.Stop(StopGrace))
	for _, process := range running.Processes() {
		assert.False(t, process.Running(), process.Name)
	}
}

// assertShownCommandWorks runs the operators' command that the fleet shows.
func assertShownCommandWorks(t *testing.T, running *Fleet) {
	t.Helper()
	var shown strings.Builder
	require.NoError(t, running.Describe(&shown))
	_, line, found := strings.Cut(shown.String(), "operators   pierhaven ")
	require.True(t, found, shown.String())
	line, _, _ = strings.Cut(line, "\n")
	output, err := exec.Command(running.options.Binaries.Pierhaven, strings.Fields(line)...).CombinedOutput()
	assert.NoError(t, err, string(output))
	assert.Contains(t, string(output), "hal-noord")
}
