package callerapi

import "github.com/pierhaven/pierhaven/internal/api/engineapi"

// Role of a chat message's author.
type Role string

// Roles that a chat message may have.
const (
	RoleSystem    Role = "system"
	RoleUser      Role = "user"
	RoleAssistant Role = "assistant"
)

// Message is one message of a chat.
type Message struct {
	Role    Role   `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of PathChatCompletions.
type ChatRequest struct {
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	// MaxTokens bounds the answer, in tokens; 0 means the model's maximum.
	MaxTokens int `json:"max_tokens,omitempty"`
	// MaxCompletionTokens is the newer name of MaxTokens; decoding folds it in.
	MaxCompletionTokens int `json:"max_completion_tokens,omitempty"`
	// N is the number of answers; only one is given. 0 means 1.
	N             int            `json:"n,omitempty"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
	// Adapter names a fine-tuned adapter of the model.
	Adapter string `json:"adapter,omitempty"`
}

// CompletionRequest is the body of PathCompletions.
type CompletionRequest struct {
	Model         string         `json:"model"`
	Prompt        string         `json:"prompt"`
	MaxTokens     int            `json:"max_tokens,omitempty"`
	N             int            `json:"n,omitempty"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
	Adapter       string         `json:"adapter,omitempty"`
}

// StreamOptions are the OpenAI interface's options of a stream.
type StreamOptions struct {
	// IncludeUsage asks for a last piece that carries the usage.
	IncludeUsage bool `json:"include_usage,omitempty"`
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails *TokenDetails `json:"prompt_tokens_details,omitempty"`
}

// TokenDetails says how many prompt tokens came from a prefix cache.
type TokenDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Objects named in answers, as in the OpenAI interface.
const (
	ObjectChatCompletion      = "chat.completion"
	ObjectChatCompletionChunk = "chat.completion.chunk"
	ObjectTextCompletion      = "text_completion"
	ObjectList                = "list"
	ObjectModel               = "model"
)

// ChatResponse answers a ChatRequest that did not ask for a stream.
type ChatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   Usage        `json:"usage"`
}

// ChatChoice is the one choice of a ChatResponse.
type ChatChoice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// ChatChunk is one event of a chat stream.
type ChatChunk struct {
	ID      string            `json:"id"`
	Object  string            `json:"object"`
	Created int64             `json:"created"`
	Model   string            `json:"model"`
	Choices []ChatChunkChoice `json:"choices"`
	Usage   *Usage            `json:"usage,omitempty"`
}

// ChatChunkChoice is the one choice of a ChatChunk.
type ChatChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a ChatChunk adds.
type Delta struct {
	Role    Role   `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// CompletionResponse answers a CompletionRequest, and is each event of its
// stream.
type CompletionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   *Usage             `json:"usage,omitempty"`
}

// CompletionChoice is the one choice of a CompletionResponse.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// ModelList answers PathModels.
type ModelList struct {
	Object string      `json:"object"`
	Data   []ModelCard `json:"data"`
}

// ModelCard is one model of a ModelList.
type ModelCard struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// EnginePrompt is the prompt that an engine gets for a chat. Checkers compute
// the expected answer from it.
func EnginePrompt(messages []Message) string {
	rendered := make([]engineapi.ChatMessage, len(messages))
	for index, message := range messages {
		rendered[index] = engineapi.ChatMessage{Role: string(message.Role), Content: message.Content}
	}
	return engineapi.RenderChat(rendered)
}
