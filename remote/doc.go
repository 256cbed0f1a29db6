// Package remote reaches the platform's services, runners and plain services
// over HTTP, behind the interfaces of the root package.
package remote
