// Package quarantine finds the requests that end the endpoints that run them, and tells which are sent to none any more.
package quarantine
