// Package membudget bounds the memory that a process holds for what its connections send.
//
// Everything that is read whole (bodies of requests, plain answers, incomplete events, messages of peers)
// reserves its memory in a Budget before it is read. A connection that exceeds the budget fails alone;
// what other connections have reserved stays theirs. Each reservation has a small part that is always
// granted, so that one that uses up the budget doesn't keep out ordinary requests. The number of
// reservations must therefore be bounded too.
package membudget

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// FreeBytes is the part of each reservation that doesn't count against the budget.
const FreeBytes = 8 << 10

// Errors of reads.
var (
	// ErrTooLarge means that the data exceeds its own limit.
	ErrTooLarge = errors.New("larger than its limit")
	// ErrExhausted means that the budget has no room for the data.
	ErrExhausted = errors.New("no memory left for it")
)

// Budget is a number of bytes that reservations share. A nil *Budget is unlimited. It is safe for
// concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns how many bytes are reserved.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

func (b *Budget) acquire(n int64) bool {
	if b == nil || n <= 0 {
		return true
	}
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *Budget) release(n int64) {
	if b != nil && n > 0 {
		b.used.Add(-n)
	}
}

// Reservation is the memory of one message. It is not safe for concurrent use.
type Reservation struct {
	budget *Budget
	size   int64
}

// Reserve returns an empty reservation.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// Resize changes the size of the reservation. It returns false, and changes nothing, if the budget has
// no room.
func (r *Reservation) Resize(size int64) bool {
	counted, wanted := max(r.size-FreeBytes, 0), max(size-FreeBytes, 0)
	if !r.budget.acquire(wanted - counted) {
		return false
	}
	r.budget.release(counted - wanted)
	r.size = size
	return true
}

// Release returns the memory to the budget. It may be called more than once.
func (r *Reservation) Release() { r.Resize(0) }

// initialBytes is the size of the first buffer of ReadAll.
const initialBytes = 512

// ReadAll reads up to limit bytes into memory that it reserves. On ErrTooLarge and ErrExhausted it
// returns what it has read; the rest can still be read from src. On any other error but io.EOF, which it
// doesn't return, the data is incomplete.
func (r *Reservation) ReadAll(src io.Reader, limit int64) ([]byte, error) {
	data := make([]byte, 0, initialBytes)
	for {
		if len(data) == cap(data) {
			grown, err := r.grow(data, limit)
			if err != nil {
				return data, err
			}
			data = grown
		}
		n, err := src.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			if int64(len(data)) > limit {
				return data, ErrTooLarge
			}
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}

// grow returns a copy of data with twice its capacity, at most one byte more than the limit.
func (r *Reservation) grow(data []byte, limit int64) ([]byte, error) {
	if int64(len(data)) > limit {
		return nil, ErrTooLarge
	}
	size := min(2*int64(cap(data)), limit+1)
	// The old copy is garbage until the next collection.
	if !r.Resize(size + int64(cap(data))) {
		return nil, ErrExhausted
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	return grown, nil
}

// CountReader returns a reader that reserves memory for all that is read through it, and fails with
// ErrExhausted or, beyond limit bytes, with ErrTooLarge. It reserves twice the bytes, since the buffer
// that takes them grows by doubling.
func (r *Reservation) CountReader(src io.Reader, limit int64) io.Reader {
	return &countReader{src: src, reservation: r, limit: limit}
}

type countReader struct {
	src         io.Reader
	reservation *Reservation
	read, limit int64
}

// Read implements io.Reader.
func (c *countReader) Read(p []byte) (int, error) {
	n, err := c.src.Read(p)
	c.read += int64(n)
	if c.read > c.limit {
		return 0, ErrTooLarge
	}
	if !c.reservation.Resize(2 * c.read) {
		return 0, ErrExhausted
	}
	return n, err
}
