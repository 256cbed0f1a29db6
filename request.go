package willowwick

import "time"

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
	Name    string `json:"name,omitempty"`
}

// Request is a caller's request after it has been authenticated and checked.
type Request struct {
	ID             RequestID
	Account        AccountID
	Class          Class
	Target         string // a model, a cascade or TargetAuto
	Messages       []Message
	Stream         bool
	MaxTokens      Tokens
	PromptTokens   Tokens
	Temperature    *float64
	Session        SessionID
	Pinned         VersionID // the session's version according to its token, if there is one
	IdempotencyKey string
	Arrived        time.Time
	Deadline       time.Time
}

// TargetAuto lets the policy of the client account choose the cascade.
const TargetAuto = "auto"

// EstimatedTokens returns the prompt's estimated tokens plus the maximum of the answer, for queueing and rate limits.
func (r *Request) EstimatedTokens() Tokens {
	return r.PromptTokens + r.MaxTokens
}

// PromptText joins the contents of the messages, each followed by a newline, for prefix hashing and estimates.
func PromptText(messages []Message) string {
	size := 0
	for _, m := range messages {
		size += len(m.Content) + 1
	}
	text := make([]byte, 0, size)
	for _, m := range messages {
		text = append(text, m.Content...)
		text = append(text, '\n')
	}
	return string(text)
}
