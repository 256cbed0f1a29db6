// Package remote implements the interfaces of the root package for the platform's services, runners and plain
// services over HTTP. Client calls the platform's log, list and rater, EngineClient the runners, and ServiceClient the
// plain services.
package remote
