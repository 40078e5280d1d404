// Package revision orders what a store publishes, also after the store was restored.
//
// A store numbers its changes. One that is restored from a copy has lost the newest of them
// and gives their numbers out again, for other changes. Numbers therefore order only what was
// published in one era of the store: the time from one restore to the next. An ID holds the
// era above the number, so that all of an era is later than all of the eras before:
//
//	era 1: 1.35, 1.36, 1.37   restored from a copy as of 1.35   era 2: 2.36, 2.37, ...
//
// Stores that tell no era are in era 0, where an ID is just the number.
//
// A store may also have gone back without a new era. Answers that follow each other show it,
// since numbers only rise within an era: see Follow. Such a rewind is counted below the era, and
// era and rewinds together are the epoch, within which numbers order.
package revision

import (
	"strconv"

	"github.com/pkg/errors"
)

const (
	numberBits = 40
	rewindBits = 8
	eraBits    = 64 - numberBits - rewindBits
	// MaxNumber, MaxRewinds and MaxEra are the highest that an ID holds.
	MaxNumber  = 1<<numberBits - 1
	MaxRewinds = 1<<rewindBits - 1
	MaxEra     = 1<<eraBits - 1
)

// ID is a revision of a store: a number within an epoch. IDs are compared as they are.
type ID uint64

// New makes an ID; it fails if the era or the number is above what one holds.
func New(era, number uint64) (ID, error) {
	if era > MaxEra || number > MaxNumber {
		return 0, errors.Errorf("revision %d of era %d is out of bounds", number, era)
	}
	return ID(era<<(rewindBits+numberBits) | number), nil
}

// Era counts the restores of the store that it tells itself.
func (id ID) Era() uint64 { return uint64(id) >> (rewindBits + numberBits) }

// Rewinds counts how often the store has gone back within its era.
func (id ID) Rewinds() uint64 { return id.Epoch() & MaxRewinds }

// Epoch is era and rewinds: two IDs of one epoch are ordered by their numbers.
func (id ID) Epoch() uint64 { return uint64(id) >> numberBits }

// Number is the store's own revision.
func (id ID) Number() uint64 { return uint64(id) & MaxNumber }

// Follow is the revision of an answer that a store gave after all that is known of it: before is
// its answer to the same reader before this one, and others is the newest that other readers have
// told. A number below that of the answer before, in the same era, is one that the store has given
// out again, so it is in the next epoch. What others tell of a rewind is believed. Past MaxRewinds
// a rewind isn't told apart any more.
func (id ID) Follow(before, others ID) ID {
	switch {
	case others.Era() == id.Era() && others.Epoch() > before.Epoch():
		return others.At(id.Number())
	case before.Era() != id.Era():
		return id
	case id.Number() < before.Number() && before.Rewinds() < MaxRewinds:
		return ID((before.Epoch()+1)<<numberBits | id.Number())
	}
	return before.At(id.Number())
}

// At is another number in the same epoch.
func (id ID) At(number uint64) ID { return id&^MaxNumber | ID(min(number, MaxNumber)) }

// String writes the number, after the era and the rewinds if there are any.
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
