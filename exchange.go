package willowwick

import (
	"net/http"
	"time"
)

type (
	// PromptPart is a part of a prompt that endpoints may cache under its id.
	PromptPart struct {
		ID     string
		Tokens Tokens
	}

	// RequestHead holds the values of a caller's headers on an opaque request.
	RequestHead struct {
		ID           RequestID
		Key          string
		Session      SessionID
		Deadline     time.Time // zero if the caller set none
		Model        ModelID
		PromptTokens Tokens
		MaxTokens    Tokens
		Prompt       []PromptPart // in order; the last one belongs to this request or session alone
		ResumeAfter  string       // id of the last stream event that the caller has received
	}

	// ForwardHead holds the header values that the router sets on a request to an endpoint.
	ForwardHead struct {
		Account     AccountID
		Expect      EndpointID // only this endpoint may run the request
		Model       ModelID    // replaces the caller's, if set
		Deadline    time.Time
		ResumeAfter string // replaces the caller's, if set
		Priority    int    // NoPriority leaves it to the endpoint
	}

	// AnswerHead holds the values of the headers on an endpoint's answer.
	AnswerHead struct {
		Request    RequestID
		NotRun     bool // the endpoint reports that it did not run the request
		Unsigned   bool // a success without the signature that makes it one; never set where endpoints don't sign
		Instance   EndpointID
		Load       EndpointLoad
		HasLoad    bool
		Confidence int // the model's confidence in its answer, 0 to 100; NoConfidence if it reports none
		Notice     Notice
	}

	// HeaderCodec reads and writes the headers of opaque requests, so that the
	// router doesn't depend on their names on the wire.
	HeaderCodec interface {
		// DecodeRequest reads a caller's headers; the error names the invalid header.
		DecodeRequest(header http.Header, arrived time.Time) (RequestHead, error)
		// EncodeRequest removes the headers that callers may not set and adds those of the router.
		EncodeRequest(header http.Header, send ForwardHead, now time.Time)
		// EncodePassedOn sets what changes in a caller's headers when another box handles the request: the time left, and the
		// last event that the caller has, if any.
		EncodePassedOn(header http.Header, resumeAfter string, deadline, now time.Time)
		// DecodeAnswer reads the status and the headers of an endpoint's answer.
		DecodeAnswer(status int, header http.Header, at time.Time) AnswerHead
		// EncodeOwnAnswer adds the request id to an answer that the router itself gives.
		EncodeOwnAnswer(header http.Header, id RequestID)
		// RemoveSignature removes the endpoint's signature from an answer that is not relayed unchanged.
		RemoveSignature(header http.Header)
	}
)

// SharedParts returns the ids of the parts of the prompt that other requests may have too: all but the last.
func (h RequestHead) SharedParts() []string {
	var ids []string
	for i := range len(h.Prompt) - 1 {
		ids = append(ids, h.Prompt[i].ID)
	}
	return ids
}

// NoConfidence is the confidence of an answer that reports none.
const NoConfidence = -1
