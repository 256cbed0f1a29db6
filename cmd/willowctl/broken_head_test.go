package main

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/standin"
)

// Guards against answers of boxes that HTTP doesn't allow being shown as their status.
func TestBrokenAnswerOfABoxIsNoStatus(t *testing.T) {
	for _, answer := range standin.BrokenLines("Content-Type: application/json\r\n") {
		server, stop, err := standin.NewRawServer(func(*http.Request) string { return answer.Text })
		require.NoError(t, err)
		var value any
		assert.ErrorIs(t, getJSON(context.Background(), "http://"+server.Address, &value), willowwick.ErrBroken, answer.Name)
		assert.Nil(t, value)
		assert.ErrorIs(t, registerEndpoint(context.Background(), "http://"+server.Address, willowwick.Endpoint{}), willowwick.ErrBroken, answer.Name)
		stop()
	}
}
