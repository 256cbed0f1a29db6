// Package quarantine detects poison requests, which crash the endpoints that run them, and decides which requests are
// no longer sent.
package quarantine
