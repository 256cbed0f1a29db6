// Package ratelimit keeps what all boxes together send to endpoints within the rates that these name in their answers.
package ratelimit
