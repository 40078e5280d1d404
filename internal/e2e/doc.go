// Package e2e holds the end-to-end tests over real processes on loopback, with
// real signals. They build the binaries themselves.
package e2e
