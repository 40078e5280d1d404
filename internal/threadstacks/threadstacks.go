// Package threadstacks makes the stacks of threads small. Goroutines don't run on them, but with cgo each thread gets a
// stack of the size that the system limits stacks to, 8 MB by default. All of it counts as data of the process (RLIMIT_DATA),
// and a thread that can't be made ends the process.
package threadstacks
