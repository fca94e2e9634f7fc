//go:build review

// Package platform holds the names of the platform that the product's own adapter lacks.
package platform

// ColdHeader is the header of health responses that says how many milliseconds a backend
// server stays cold.
const ColdHeader = "X-Coltsfootflow-Cold-Ms"
