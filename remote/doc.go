// Package remote implements the interfaces of the root package for the platform's services, runners and plain
// services over HTTP.
package remote
