package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/remote"
	"github.com/willowwick/willowwick/serve"
	"github.com/willowwick/willowwick/standin"
)

type (
	// Outcome classifies what a caller received.
	Outcome string

	// Chat is a caller's chat request.
	Chat struct {
		Key         string
		Model       string
		System      []string // messages before the prompt
		Prompt      string
		MaxTokens   int
		Stream      bool
		Session     string
		Token       string // session token of an earlier reply
		Class       string
		Idempotency string        // idempotency key; empty for none
		Deadline    time.Duration // relative to the time of the call
	}

	// Reply is the result of a call.
	Reply struct {
		Outcome    Outcome
		Status     int
		Version    willowwick.VersionID
		Token      string
		RequestID  string
		Text       string
		Detail     string
		RetryAfter int // seconds
		FirstToken time.Duration
		Duration   time.Duration
	}

	errorResponse struct {
		Error struct {
			Message string                 `json:"message"`
			Kind    willowwick.RefusalKind `json:"kind"`
			Code    willowwick.RefusalCode `json:"code"`
		} `json:"error"`
	}

	completionResponse struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
)

// Outcomes of a call.
const (
	OutcomeComplete    Outcome = "whole"
	OutcomeRefused     Outcome = "refused"
	OutcomeMismatched  Outcome = "crossed"   // looked complete, but was not the complete answer to this prompt
	OutcomeLost        Outcome = "lost"      // neither an answer nor a refusal
	OutcomeNotAccepted Outcome = "not taken" // the box accepted no connection, or no box is ready
)

// Ask sends a chat request to a box and checks the answer against the prompt.
func Ask(ctx context.Context, client *http.Client, address string, chat Chat) Reply {
	started := time.Now()
	request, err := newChatRequest(ctx, address, chat)
	if err != nil {
		return Reply{Outcome: OutcomeNotAccepted, Detail: err.Error()}
	}
	read := func(reply *Reply, body io.Reader) error {
		if chat.Stream {
			return reply.readStream(body, started)
		}
		err := reply.readCompletion(body)
		reply.FirstToken = time.Since(started)
		return err
	}
	return send(client, request, started, read, func(text string) bool {
		return standin.IsCompleteAnswer(willowwick.PromptText(chat.messages()), text, willowwick.Tokens(chat.MaxTokens))
	})
}

// send makes a call and classifies its result. read consumes the body of an answer; isComplete reports whether its text
// is the complete answer to this call.
func send(
	client *http.Client, request *http.Request, started time.Time,
	read func(reply *Reply, body io.Reader) error, isComplete func(text string) bool,
) Reply {
	response, err := client.Do(request)
	if err != nil {
		return replyFromError(err)
	}
	defer func() { _ = response.Body.Close() }()
	reply := newReply(response)
	if response.StatusCode != http.StatusOK {
		return replyFromRefusal(reply, response)
	}
	err = read(&reply, response.Body)
	reply.Duration = time.Since(started)
	switch {
	case err != nil:
		reply.Outcome, reply.Detail = OutcomeLost, err.Error()
	case !isComplete(reply.Text):
		reply.Outcome, reply.Detail = OutcomeMismatched, reply.Text
	default:
		reply.Outcome = OutcomeComplete
	}
	return reply
}

// messages returns the conversation.
func (c Chat) messages() []willowwick.Message {
	var messages []willowwick.Message
	for _, content := range c.System {
		messages = append(messages, willowwick.Message{Role: "system", Content: content})
	}
	return append(messages, willowwick.Message{Role: "user", Content: c.Prompt})
}

func newChatRequest(ctx context.Context, address string, chat Chat) (*http.Request, error) {
	body, err := json.Marshal(remote.ChatRequest{
		Model: willowwick.VersionID(chat.Model), Messages: chat.messages(),
		MaxTokens: willowwick.Tokens(chat.MaxTokens), Stream: chat.Stream,
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	setHeaders(request, chat.Key, map[string]string{
		serve.HeaderSession: chat.Session, serve.HeaderSessionToken: chat.Token,
		serve.HeaderClass: chat.Class, serve.HeaderIdempotency: chat.Idempotency,
	})
	if chat.Deadline > 0 {
		request.Header.Set(serve.HeaderDeadlineMs, strconv.FormatInt(chat.Deadline.Milliseconds(), 10))
	}
	return request, nil
}

func setHeaders(request *http.Request, key string, headers map[string]string) {
	request.Header.Set("Authorization", "Bearer "+key)
	for name, value := range headers {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
}

// CallService calls a plain service through a box; entry identifies the effect of the call.
func CallService(ctx context.Context, client *http.Client, address, key, method, path, idempotency, entry string) Reply {
	started := time.Now()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(entry))
	if err != nil {
		return Reply{Outcome: OutcomeNotAccepted, Detail: err.Error()}
	}
	setHeaders(request, key, map[string]string{serve.HeaderIdempotency: idempotency, "X-Entry": entry})
	return send(client, request, started, (*Reply).readBody, func(text string) bool {
		return method == http.MethodGet || strings.Contains(text, entry)
	})
}

func newReply(response *http.Response) Reply {
	retryAfter, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		retryAfter = 0
	}
	return Reply{
		Status: response.StatusCode, RequestID: response.Header.Get(serve.HeaderRequestID), RetryAfter: retryAfter,
		Version: willowwick.VersionID(response.Header.Get(serve.HeaderVersion)),
		Token:   response.Header.Get(serve.HeaderSessionToken),
	}
}

func replyFromError(err error) Reply {
	if strings.Contains(err.Error(), "refused") || strings.Contains(err.Error(), errLinkCut.Error()) {
		return Reply{Outcome: OutcomeNotAccepted, Detail: err.Error()}
	}
	return Reply{Outcome: OutcomeLost, Detail: err.Error()}
}

func replyFromRefusal(reply Reply, response *http.Response) Reply {
	var answer errorResponse
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil || answer.Error.Kind == "" {
		reply.Outcome, reply.Detail = OutcomeLost, "status "+response.Status+" without an error type"
		return reply
	}
	reply.Outcome, reply.Text = OutcomeRefused, string(answer.Error.Kind)
	reply.Detail = string(answer.Error.Code) + ": " + answer.Error.Message
	return reply
}

func (r *Reply) readStream(body io.Reader, started time.Time) error {
	var text strings.Builder
	finished := false
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return err
		}
		if event.Data == "[DONE]" {
			r.Text = text.String()
			if !finished {
				return errors.New("[DONE] arrived before a chunk with a finish reason")
			}
			return nil
		}
		var chunk remote.ChatChunk
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			return err
		}
		if r.FirstToken == 0 {
			r.FirstToken = time.Since(started)
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
		finished = finished || chunk.Choices[0].FinishReason != nil
	}
	return errors.New("stream ended without [DONE]")
}

func (r *Reply) readCompletion(body io.Reader) error {
	var answer completionResponse
	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		return err
	}
	if len(answer.Choices) != 1 {
		return errors.New("answer does not have exactly one choice")
	}
	r.Text = answer.Choices[0].Message.Content
	return nil
}

func (r *Reply) readBody(body io.Reader) error {
	text, err := io.ReadAll(body)
	r.Text = string(text)
	return err
}
