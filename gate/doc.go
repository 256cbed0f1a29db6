// Package gate admits requests to endpoints in fair order between client accounts, and refuses at once what could not
// meet its deadline.
package gate
