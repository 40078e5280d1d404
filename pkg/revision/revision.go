// Package revision orders the changes of a store, also across restores of the store.
//
// A store numbers its changes. A store that is restored from a copy has lost the newest changes
// and reuses their numbers for others. Numbers therefore order only the changes of one era of
// the store, the time from one restore to the next. An ID holds the era in its high bits, above
// the number, so that every revision of an era is later than those of all earlier eras:
//
//	era 1: 1.35, 1.36, 1.37   restored from a copy as of 1.35   era 2: 2.36, 2.37, ...
//
// Stores that report no era are in era 0, where an ID equals the number.
//
// A store can also be rewound without a new era. Consecutive responses show this, since numbers
// never decrease otherwise; see ID.WithRewinds. The bits between the era and the number count the
// rewinds. Era and rewinds together are the epoch. Numbers are ordered within an epoch.
package revision

import (
	"strconv"

	"github.com/pkg/errors"
)

const (
	numberBits = 40
	rewindBits = 8
	eraBits    = 64 - numberBits - rewindBits
	// MaxNumber, MaxRewinds and MaxEra are the highest values that an ID can hold.
	MaxNumber  = 1<<numberBits - 1
	MaxRewinds = 1<<rewindBits - 1
	MaxEra     = 1<<eraBits - 1
)

// ID is a revision of a store: a number within an epoch. IDs are ordered as integers.
type ID uint64

// New returns an ID without rewinds; it fails if the era is above MaxEra or the number above
// MaxNumber.
func New(era, number uint64) (ID, error) {
	if era > MaxEra || number > MaxNumber {
		return 0, errors.Errorf("revision %d of era %d is out of bounds", number, era)
	}
	return ID(era<<(rewindBits+numberBits) | number), nil
}

// Era returns the era, which counts the restores that the store reports.
func (id ID) Era() uint64 { return uint64(id) >> (rewindBits + numberBits) }

// Rewinds returns how often the store has been rewound within its era.
func (id ID) Rewinds() uint64 { return id.Epoch() & MaxRewinds }

// Epoch returns era and rewinds combined: two IDs of one epoch are ordered by their numbers.
func (id ID) Epoch() uint64 { return uint64(id) >> numberBits }

// Number returns the store's own revision number.
func (id ID) Number() uint64 { return uint64(id) & MaxNumber }

// WithRewinds returns the revision of a store's response with the rewinds of the store counted.
// The receiver has the era and number that the store returned, previous is the revision of its
// previous response to the same reader, and peerRevision is the newest revision received from
// peers, which are the other readers. A number below the previous one in the same era shows that
// the store was rewound and reuses numbers, so the response is in the next epoch. A later epoch
// received from peers in the same era is adopted. Rewinds beyond MaxRewinds aren't detected.
func (id ID) WithRewinds(previous, peerRevision ID) ID {
	switch {
	case peerRevision.Era() == id.Era() && peerRevision.Epoch() > previous.Epoch():
		return peerRevision.WithNumber(id.Number())
	case previous.Era() != id.Era():
		return id
	case id.Number() < previous.Number() && previous.Rewinds() < MaxRewinds:
		return ID((previous.Epoch()+1)<<numberBits | id.Number())
	}
	return previous.WithNumber(id.Number())
}

// WithNumber returns the revision with another number in the same epoch, at most MaxNumber.
func (id ID) WithNumber(number uint64) ID { return id&^MaxNumber | ID(min(number, MaxNumber)) }

// String returns the number in epoch 0 and otherwise era.number, or era+rewinds.number if the
// store was rewound.
func (id ID) String() string {
	number := strconv.FormatUint(id.Number(), 10)
	era := strconv.FormatUint(id.Era(), 10)
	switch {
	case id.Epoch() == 0:
		return number
	case id.Rewinds() == 0:
		return era + "." + number
	}
	return era + "+" + strconv.FormatUint(id.Rewinds(), 10) + "." + number
}
