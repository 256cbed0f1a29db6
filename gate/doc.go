// Package gate lets requests to endpoints in fair turns between client accounts,
// and refuses at once what could not make its deadline.
package gate
