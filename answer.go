package willowwick

import "time"

// FinishReason is the reason why an answer ended; it is empty on all chunks but the last.
type FinishReason string

// Finish reasons that engines report.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// Chunk is one part of a streamed answer, as sent by an engine.
type Chunk struct {
	Request  RequestID
	Position int // index in the answer, from 0
	Text     string
	Finish   FinishReason
	Usage    *Usage // set on the last chunk only
}

// Usage is the number of tokens that an engine counted for one call.
type Usage struct {
	Prompt Tokens `json:"prompt_tokens"`
	Output Tokens `json:"completion_tokens"`
}

// UsageRecord is the billing record of one request; Boot and Seq identify it uniquely. Boxes send it to each other by gob,
// under these field names.
type UsageRecord struct {
	Boot    BootID     `json:"boot"`
	Seq     uint64     `json:"seq"`
	Request RequestID  `json:"request"`
	Account AccountID  `json:"account"`
	Version VersionID  `json:"version,omitempty"`
	Service ServiceID  `json:"service,omitempty"`
	Prompt  Tokens     `json:"prompt"`
	Output  Tokens     `json:"output"`
	Cost    MicroUnits `json:"cost"`
	At      time.Time  `json:"at"`
}
