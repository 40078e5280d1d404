// Package truncation runs the real gateway against endpoints that cut their answers off after each byte and
// close the connection, and checks what callers get.
package truncation
