package handler

import (
	"encoding/json"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/gateway/completion"
	"github.com/pierhaven/pierhaven/internal/request"
)

// Format is the shape of an answer.
type Format interface {
	// Whole is the body of an answer that is not streamed.
	Whole(text string, finish request.Finish) any
	// AppendPiece appends the event of a piece of text to buffer.
	AppendPiece(buffer []byte, text string) []byte
	// Last is the event that tells why the answer ended; usage may be nil.
	Last(finish request.Finish, usage *callerapi.Usage) any
}

// usageOf counts an answer's tokens in the callers' terms.
func usageOf(finish request.Finish) callerapi.Usage {
	return callerapi.Usage{
		PromptTokens:        finish.Usage.PromptTokens,
		CompletionTokens:    finish.Usage.OutputTokens,
		TotalTokens:         finish.Usage.PromptTokens + finish.Usage.OutputTokens,
		PromptTokensDetails: &callerapi.TokenDetails{CachedTokens: finish.Usage.CachedTokens},
	}
}

// pieceFrame is the constant part of a stream's events around the text.
type pieceFrame struct {
	before []byte
	after  []byte
}

// textMark stands in for the text while a frame is made.
const textMark = "\x00"

// newPieceFrame encodes an example event whose text is textMark and cuts it
// there, so that each piece costs only the encoding of its text.
func newPieceFrame(example any) pieceFrame {
	encoded, err := json.Marshal(example)
	if err != nil {
		panic("callerapi: " + err.Error())
	}
	quoted, _ := json.Marshal(textMark)
	for index := 0; index+len(quoted) <= len(encoded); index++ {
		if string(encoded[index:index+len(quoted)]) == string(quoted) {
			return pieceFrame{before: encoded[:index], after: encoded[index+len(quoted):]}
		}
	}
	panic("callerapi: the example event has no text")
}

func (f pieceFrame) append(buffer []byte, text string) []byte {
	buffer = append(buffer, f.before...)
	buffer = appendQuoted(buffer, text)
	return append(buffer, f.after...)
}

// chatFormat is the shape of chats.
type chatFormat struct {
	id      string
	model   string
	created int64
	frame   pieceFrame
}

func newChatFormat(call completion.Call) *chatFormat {
	format := &chatFormat{id: "chatcmpl-" + call.RequestID, model: call.Model.Name, created: time.Now().Unix()}
	format.frame = newPieceFrame(format.chunk(callerapi.Delta{Content: textMark}, nil))
	return format
}

func (f *chatFormat) chunk(delta callerapi.Delta, reason *string) callerapi.ChatChunk {
	return callerapi.ChatChunk{
		ID:      f.id,
		Object:  callerapi.ObjectChatCompletionChunk,
		Created: f.created,
		Model:   f.model,
		Choices: []callerapi.ChatChunkChoice{{Delta: delta, FinishReason: reason}},
	}
}

// Whole implements Format.
func (f *chatFormat) Whole(text string, finish request.Finish) any {
	return callerapi.ChatResponse{
		ID:      f.id,
		Object:  callerapi.ObjectChatCompletion,
		Created: f.created,
		Model:   f.model,
		Choices: []callerapi.ChatChoice{{
			Message:      callerapi.Message{Role: callerapi.RoleAssistant, Content: text},
			FinishReason: string(finish.Reason),
		}},
		Usage: usageOf(finish),
	}
}

// AppendPiece implements Format.
func (f *chatFormat) AppendPiece(buffer []byte, text string) []byte {
	return f.frame.append(buffer, text)
}

// Last implements Format.
func (f *chatFormat) Last(finish request.Finish, usage *callerapi.Usage) any {
	reason := string(finish.Reason)
	last := f.chunk(callerapi.Delta{}, &reason)
	last.Usage = usage
	return last
}

// textFormat is the shape of completions.
type textFormat struct {
	id      string
	model   string
	created int64
	frame   pieceFrame
}

func newTextFormat(call completion.Call) *textFormat {
	format := &textFormat{id: "cmpl-" + call.RequestID, model: call.Model.Name, created: time.Now().Unix()}
	format.frame = newPieceFrame(format.response(textMark, nil))
	return format
}

func (f *textFormat) response(text string, reason *string) callerapi.CompletionResponse {
	return callerapi.CompletionResponse{
		ID:      f.id,
		Object:  callerapi.ObjectTextCompletion,
		Created: f.created,
		Model:   f.model,
		Choices: []callerapi.CompletionChoice{{Text: text, FinishReason: reason}},
	}
}

// Whole implements Format.
func (f *textFormat) Whole(text string, finish request.Finish) any {
	reason := string(finish.Reason)
	usage := usageOf(finish)
	whole := f.response(text, &reason)
	whole.Usage = &usage
	return whole
}

// AppendPiece implements Format.
func (f *textFormat) AppendPiece(buffer []byte, text string) []byte {
	return f.frame.append(buffer, text)
}

// Last implements Format.
func (f *textFormat) Last(finish request.Finish, usage *callerapi.Usage) any {
	reason := string(finish.Reason)
	last := f.response("", &reason)
	last.Usage = usage
	return last
}
