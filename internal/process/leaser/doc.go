// Package leaser enforces the customers' rates at an ingress. It draws a token for
// each request from the pools of package pooler, sends the pools' requests to the
// owners of the shares, and resumes requests that wait for tokens.
package leaser
