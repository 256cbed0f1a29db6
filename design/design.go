package design

import (
	. "goa.design/goa/v3/dsl" //revive:disable-line:dot-imports the description language is written this way
)

var _ = API("willowwick", func() {
	Title("willowwick")
	Description("A model-aware router between callers and language-model endpoints or plain services.")
	Server("willowwickd", func() {
		Host("local", func() {
			URI("http://127.0.0.1:8080")
		})
	})
})

// ErrorDetail is the inner object of an OpenAI-compatible error body.
var ErrorDetail = Type("ErrorDetail", func() {
	Attribute("message", String, "What happened and what would be right.")
	Attribute("type", String, "Family of the error, in the words of the OpenAI API.")
	Attribute("param", String, "Field or header that is wrong, if one is.")
	Attribute("code", String, "Short code of the cause.")
	Attribute("kind", String, "Refusal kind: invalid, not_run, outcome_unknown or failed.")
	Attribute("request_id", String, "Id of the request, for 'willowctl trace'.")
	Required("message", "type", "code", "kind")
})

// ErrorBody is the error that each method returns.
var ErrorBody = Type("ErrorBody", func() {
	ErrorName("name", String, "Name of the error, which picks the status.")
	Attribute("error", ErrorDetail, "What happened.", func() {
		Meta("struct:field:name", "Detail")
	})
	Attribute("retry_after", Int, "Whole seconds after which a retry makes sense.")
	Required("name", "error")
})

// ChatMessage is one message of a conversation.
var ChatMessage = Type("ChatMessage", func() {
	Attribute("role", String, "Speaker: system, developer, user, assistant or tool.")
	Attribute("content", Any, "A string, or a list of parts with type and text.")
	Attribute("name", String, "Name of the speaker.")
	Required("role")
})

var errorStatuses = []struct {
	name   string
	status int
}{
	{"invalid", StatusBadRequest},
	{"unauthorized", StatusUnauthorized},
	{"forbidden", StatusForbidden},
	{"not_found", StatusNotFound},
	{"conflict", StatusConflict},
	{"too_large", StatusRequestEntityTooLarge},
	{"limited", StatusTooManyRequests},
	{"failed", StatusBadGateway},
	{"unavailable", StatusServiceUnavailable},
	{"timeout", StatusGatewayTimeout},
}

func errorResponses() {
	for _, e := range errorStatuses {
		Response(e.name, e.status, func() {
			Header("retry_after:Retry-After")
			Header("name:X-Willowwick-Error")
		})
	}
}

func declareErrors() {
	for _, e := range errorStatuses {
		Error(e.name, ErrorBody)
	}
}

func callerAttributes() {
	Attribute("authorization", String, "Bearer key of the client account.")
	Attribute("session", String, "Session id; requests of one session stay on one version.")
	Attribute("session_token", String, "Signed token from an earlier answer of the session.")
	Attribute("deadline_ms", Int64, "Milliseconds from now within which the whole answer is of use.")
	Attribute("idempotency_key", String, "Key under which a call that may not be repeated runs at most once.")
	Attribute("class", String, "Class of the request, for policies and learning.")
}

func callerHeaders() {
	Header("authorization:Authorization")
	Header("session:X-Willowwick-Session")
	Header("session_token:X-Willowwick-Session-Token")
	Header("deadline_ms:X-Willowwick-Deadline-Ms")
	Header("idempotency_key:Idempotency-Key")
	Header("class:X-Willowwick-Class")
}

var _ = Service("chat", func() {
	Description("OpenAI-compatible chat completions.")
	declareErrors()
	Method("completions", func() {
		Payload(func() {
			callerAttributes()
			Attribute("model", String, "A model, a cascade, or auto.")
			Attribute("messages", ArrayOf(ChatMessage), "The conversation.", func() {
				MinLength(1)
			})
			Attribute("stream", Boolean, "Answer as server-sent events.", func() {
				Default(false)
			})
			Attribute("max_tokens", Int, "Most tokens to generate.", func() {
				Minimum(1)
			})
			Attribute("max_completion_tokens", Int, "Most tokens to generate, by its newer name.", func() {
				Minimum(1)
			})
			Attribute("temperature", Float64, "Sampling temperature.")
			Attribute("user", String, "The end user, passed on unread.")
			Required("model", "messages")
		})
		Result(func() {
			Attribute("content_type", String)
			Attribute("request_id", String)
			Attribute("version", String)
			Attribute("session_token", String)
			Required("content_type", "request_id")
		})
		HTTP(func() {
			POST("/v1/chat/completions")
			callerHeaders()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() {
				Header("content_type:Content-Type")
				Header("request_id:X-Request-Id")
				Header("version:X-Willowwick-Version")
				Header("session_token:X-Willowwick-Session-Token")
			})
			errorResponses()
		})
	})
})

// ModelEntry is one entry of the list of models.
var ModelEntry = Type("ModelEntry", func() {
	Attribute("id", String)
	Attribute("object", String)
	Attribute("created", Int64)
	Attribute("owned_by", String)
	Required("id", "object", "created", "owned_by")
})

var _ = Service("models", func() {
	Description("The models and cascades that the client account may use.")
	declareErrors()
	Method("list", func() {
		Payload(func() {
			Attribute("authorization", String, "Bearer key of the client account.")
		})
		Result(func() {
			Attribute("object", String)
			Attribute("data", ArrayOf(ModelEntry))
			Required("object", "data")
		})
		HTTP(func() {
			GET("/v1/models")
			Header("authorization:Authorization")
			Response(StatusOK)
			errorResponses()
		})
	})
})
