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
package revision

import (
	"strconv"

	"github.com/pkg/errors"
)

const (
	numberBits = 48
	// MaxNumber and MaxEra are the highest that an ID holds.
	MaxNumber = 1<<numberBits - 1
	MaxEra    = 1<<(64-numberBits) - 1
)

// ID is a revision of a store: a number within an era. IDs are compared as they are.
type ID uint64

// New makes an ID; it fails if the era or the number is above what one holds.
func New(era, number uint64) (ID, error) {
	if era > MaxEra || number > MaxNumber {
		return 0, errors.Errorf("revision %d of era %d is out of bounds", number, era)
	}
	return ID(era<<numberBits | number), nil
}

// Era counts the restores of the store.
func (id ID) Era() uint64 { return uint64(id) >> numberBits }

// Number is the store's own revision.
func (id ID) Number() uint64 { return uint64(id) & MaxNumber }

// At is another number in the same era.
func (id ID) At(number uint64) ID { return id&^MaxNumber | ID(min(number, MaxNumber)) }

// String writes the number, after the era if there is one.
func (id ID) String() string {
	number := strconv.FormatUint(id.Number(), 10)
	if id.Era() == 0 {
		return number
	}
	return strconv.FormatUint(id.Era(), 10) + "." + number
}
