package main

import (
	"bytes"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
)

// The text handler prints an error with its whole stack unless it is removed: 2 KB where the message has 60 bytes.
func TestLogLinesOmitErrorStacks(t *testing.T) {
	for _, format := range []string{formatText, formatJSON} {
		var out bytes.Buffer
		o := options{logLevel: "info", logFormat: format}
		o.loggerTo(&out).Info("store is not reached", "error", errors.Wrap(errors.New("no answer"), "read"))
		assert.Contains(t, out.String(), "read: no answer", format)
		assert.NotContains(t, out.String(), "options_test.go", format)
		assert.Equal(t, 1, bytes.Count(out.Bytes(), []byte("\n")), format)
	}
}

func TestRunnerUtilisationIsChecked(t *testing.T) {
	for value, problems := range map[string]int{"0.5": 0, "1": 0, "0": 1, "1.1": 1, "NaN": 1} {
		o, err := parseOptions([]string{"-node-file", "settings", "-key", "0123456789abcdef", "-runner-utilisation", value})
		assert.NoError(t, err)
		assert.Len(t, o.check(), problems, value)
	}
}
