package serve

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/remote"
)

const (
	roleAssistant    = "assistant"
	objectChunk      = "chat.completion.chunk"
	objectCompletion = "chat.completion"
	doneMarker       = "[DONE]"
)

type (
	// eventBody streams an answer as server-sent events.
	eventBody struct {
		answer  *Answer
		model   string
		created int64
	}

	// completionBody is the JSON form of an answer that is not streamed.
	completionBody struct {
		ID      willowwick.RequestID `json:"id"`
		Object  string               `json:"object"`
		Created int64                `json:"created"`
		Model   string               `json:"model"`
		Choices []completionChoice   `json:"choices"`
		Usage   remote.ChatUsage     `json:"usage"`
	}

	completionChoice struct {
		Index        int                     `json:"index"`
		Message      completionMessage       `json:"message"`
		FinishReason willowwick.FinishReason `json:"finish_reason"`
	}

	completionMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
)

func newEventBody(answer *Answer, model string) *eventBody {
	return &eventBody{answer: answer, model: model, created: time.Now().Unix()}
}

// Read implements io.Reader, but always fails, since goa uses WriteTo.
func (*eventBody) Read([]byte) (int, error) {
	return 0, errors.New("event body supports WriteTo only")
}

// Close implements io.Closer.
func (b *eventBody) Close() error {
	b.answer.Close()
	return nil
}

// WriteTo implements io.WriterTo and flushes after every chunk.
//
// If the answer fails, it aborts the connection, so that no caller takes a
// truncated answer for a complete one.
func (b *eventBody) WriteTo(w io.Writer) (int64, error) {
	flush := func() error { return nil }
	if response, ok := w.(http.ResponseWriter); ok {
		flush = http.NewResponseController(response).Flush
	}
	var written int64
	for first := true; ; first = false {
		chunk, err := b.answer.Next()
		if err == io.EOF {
			n, err := writeEvent(w, []byte(doneMarker))
			return written + n, err
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		data, err := json.Marshal(b.event(chunk, first))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		n, err := writeEvent(w, data)
		written += n
		if err == nil {
			err = flush()
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func writeEvent(w io.Writer, data []byte) (int64, error) {
	message := &sse.Message{}
	message.AppendData(string(data))
	return message.WriteTo(w)
}

func (b *eventBody) event(chunk willowwick.Chunk, first bool) remote.ChatChunk {
	event := remote.ChatChunk{
		ID: b.answer.Request, Object: objectChunk, Created: b.created, Model: b.model,
		Choices: []remote.ChatChoice{{Delta: remote.ChatDelta{Content: chunk.Text}}},
	}
	if first {
		event.Choices[0].Delta.Role = roleAssistant
	}
	if chunk.Finish != "" {
		event.Choices[0].FinishReason = &chunk.Finish
		event.Usage = b.answer.usage()
	}
	return event
}

// usage returns the billed usage of the request over all stages of its cascade.
func (a *Answer) usage() *remote.ChatUsage {
	return &remote.ChatUsage{Usage: a.run.usage, Total: a.run.usage.Prompt + a.run.usage.Output}
}

// collectBody reads the whole answer, before anything is sent to the caller, and returns it as one JSON body.
func collectBody(answer *Answer, model string) (io.ReadCloser, *willowwick.Refusal) {
	defer answer.Close()
	var text bytes.Buffer
	body := completionBody{
		ID: answer.Request, Object: objectCompletion, Created: time.Now().Unix(), Model: model,
		Choices: []completionChoice{{Message: completionMessage{Role: roleAssistant}}},
	}
	for {
		chunk, err := answer.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			var refusal *willowwick.Refusal
			if !errors.As(err, &refusal) {
				refusal = willowwick.Failed(willowwick.CodeCutOff, "%s", err.Error())
			}
			return nil, refusal
		}
		text.WriteString(chunk.Text)
		if chunk.Finish != "" {
			body.Choices[0].FinishReason = chunk.Finish
		}
	}
	body.Choices[0].Message.Content = text.String()
	body.Usage = *answer.usage()
	data, err := json.Marshal(body)
	if err != nil {
		return nil, willowwick.Failed(willowwick.CodeCutOff, "%s", err.Error())
	}
	return io.NopCloser(bytes.NewReader(data)), nil
}
