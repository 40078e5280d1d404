// Package hostfaults runs the daemons as real processes and disturbs what surrounds them: streams, signals, ports and
// files. A daemon must not end by itself, must serve once the fault is over, and must end with 0 by SIGTERM.
package hostfaults
