package willowwick

import "time"

// Units of size, money and quality.
type (
	// Tokens counts tokens of a prompt or an answer.
	Tokens int64
	// MicroUnits is money in millionths of the billing currency.
	MicroUnits int64
	// Score is the rater's score of an answer, from 0 to 1.
	Score float64
)

const (
	charactersPerToken = 4
	tokensPerPriceUnit = 1000
)

// EstimateTokens estimates the number of tokens of a text that no engine has counted yet.
func EstimateTokens(text string) Tokens {
	return Tokens(len(text)/charactersPerToken + 1)
}

// Price is the price of a version per thousand tokens.
type Price struct {
	Prompt MicroUnits `json:"prompt" yaml:"prompt"`
	Output MicroUnits `json:"output" yaml:"output"`
}

// Cost returns the price of a prompt and an answer of the given sizes, rounded down.
func (p Price) Cost(prompt, output Tokens) MicroUnits {
	return (p.Prompt*MicroUnits(prompt) + p.Output*MicroUnits(output)) / tokensPerPriceUnit
}

// Milliseconds converts a duration for reports.
func Milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
