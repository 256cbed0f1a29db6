// Package quarantine detects poison requests, which crash the endpoints that run them, and decides which requests are
// no longer sent.
//
// Begin with Ledger, which records the crashes of endpoints and the requests that they were running. Peers exchanges
// ledgers between boxes.
package quarantine
