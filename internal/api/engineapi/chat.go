package engineapi

import "strings"

// ChatMessage is one message of a chat request.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// RenderChat turns a chat into the prompt that an engine reads. The result is
// a function of the messages alone, so that callers can work out the answer
// that they have to get.
func RenderChat(messages []ChatMessage) string {
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString("<|" + message.Role + "|> ")
		prompt.WriteString(message.Content)
		prompt.WriteString(" ")
	}
	prompt.WriteString("<|assistant|>")
	return prompt.String()
}
