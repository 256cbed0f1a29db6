package willowwick

import (
	"net/http"
	"time"
)

type (
	// PromptPart is a part of a prompt that endpoints may keep under its name.
	PromptPart struct {
		ID     string
		Tokens Tokens
	}

	// RequestHead is what a caller's headers say of an opaque request.
	RequestHead struct {
		ID           RequestID
		Key          string
		Session      SessionID
		Deadline     time.Time // zero if the caller named none
		Model        ModelID
		PromptTokens Tokens
		MaxTokens    Tokens
		Prompt       []PromptPart // in order; the last one is the request's or its session's own
		ResumeAfter  string       // last event that the caller has of the stream
	}

	// ForwardHead is what the router tells an endpoint about a request.
	ForwardHead struct {
		Account     AccountID
		Expect      EndpointID // only this endpoint may run it
		Model       ModelID    // replaces the caller's, if set
		Deadline    time.Time
		ResumeAfter string // replaces the caller's, if set
		Priority    int    // NoPriority if the endpoint is to use its own
	}

	// AnswerHead is what an endpoint's headers say of an answer.
	AnswerHead struct {
		Request    RequestID
		NotRun     bool // the endpoint says that it did not run the request
		Instance   EndpointID
		Load       EndpointLoad
		HasLoad    bool
		Confidence int // the model's own opinion of its answer, 0 to 100; NoConfidence if it gave none
		Notice     Notice
	}

	// HeaderCodec reads and writes the headers of opaque requests; it keeps the
	// names on the wire out of the router.
	HeaderCodec interface {
		// DecodeRequest reads a caller's headers; the error says which header is wrong.
		DecodeRequest(header http.Header, arrived time.Time) (RequestHead, error)
		// EncodeRequest takes out what callers may not set and adds what the router sets.
		EncodeRequest(header http.Header, send ForwardHead, now time.Time)
		// DecodeAnswer reads the status and the headers of an endpoint's answer.
		DecodeAnswer(status int, header http.Header, at time.Time) AnswerHead
		// EncodeOwnAnswer marks an answer of the router's own with the request that it belongs to.
		EncodeOwnAnswer(header http.Header, id RequestID)
		// RemoveSignature takes the endpoint's signature off an answer that is not passed on as it came.
		RemoveSignature(header http.Header)
	}
)

// NoConfidence is the confidence of an answer that names none.
const NoConfidence = -1
