// Package leaser puts the ingress's side of the customers' rates into force: it
// draws a token for each request from the pools of package drawer, sends the
// pools' requests to the owners of the shares, and wakes requests that wait for
// tokens.
package leaser
