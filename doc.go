// Package willowwick defines the domain types of the router and the interfaces
// between its parts. The packages below implement them.
package willowwick
