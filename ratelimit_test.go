package willowwick

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestParseRateLimit(t *testing.T) {
	for text, want := range map[string]RateLimit{
		"":       {},
		" 1.2 ":  {Rate: 1.2, IsSet: true},
		"0":      {IsSet: true},
		"1e9":    {Rate: 1e9, IsSet: true},
		"-1":     {Unreadable: "-1"},
		"many":   {Unreadable: "many"},
		"NaN":    {Unreadable: "NaN"},
		"Inf":    {Unreadable: "Inf"},
		"1e999":  {Unreadable: "1e999"},
		"1.2, 3": {Unreadable: "1.2, 3"},
	} {
		assert.Equal(t, want, ParseRateLimit(text), "%q", text)
	}
}
