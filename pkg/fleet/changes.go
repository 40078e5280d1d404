package fleet

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/pkg/jsontext"
)

// An encoded registry of 3,000 endpoints takes 600 KB, and most updates change a single record.
// Entries therefore send deltas to each other, and the cost of applying one depends on the size
// of the delta.

// EncodeChanges encodes changes for peers.
func EncodeChanges(changes []Record) ([]byte, error) {
	data, err := json.Marshal(changes)
	return data, errors.Wrap(err, "changes")
}

// DecodeChanges decodes the output of EncodeChanges.
func DecodeChanges(data []byte) ([]Record, error) {
	var changes []Record
	err := json.Unmarshal(data, &changes)
	return changes, errors.Wrap(err, "changes")
}

// ChangesAfter returns the changes with a revision above the given one, without those that are
// out of order. Several changes can have the same revision if they are deletions whose own
// revision is unknown, see Diff.
func ChangesAfter(changes []Record, revision uint64) []Record {
	newest := revision
	var later []Record
	for _, c := range changes {
		if c.Revision > revision && c.Revision >= newest {
			newest = c.Revision
			later = append(later, c)
		}
	}
	return later
}

// Patch applies changes, ordered by revision, to an encoded registry as of a revision. The result
// equals the output of Registry.Encode after Registry.Apply of the same changes. Unchanged
// records are copied without decoding them.
func Patch(content []byte, revision uint64, changes []Record) ([]byte, error) {
	elements, err := SplitRecords(content)
	if err != nil {
		return nil, err
	}
	for _, c := range ChangesAfter(changes, revision) {
		if elements, err = patchRecord(elements, c); err != nil {
			return nil, err
		}
	}
	return slices.Concat([]byte("["), bytes.Join(elements, []byte(",")), []byte("]")), nil
}

// patchRecord applies one change to the encoded records, which are sorted by key.
func patchRecord(elements [][]byte, change Record) ([][]byte, error) {
	var keyErr error
	i, found := slices.BinarySearchFunc(elements, change.key(), func(element []byte, key recordKey) int {
		k, err := keyOf(element)
		if err != nil {
			keyErr = err
		}
		return compareKeys(k, key)
	})
	if keyErr != nil {
		return nil, keyErr
	}
	if change.Deleted {
		if found {
			elements = slices.Delete(elements, i, i+1)
		}
		return elements, nil
	}
	data, err := json.Marshal(change)
	if err != nil {
		return nil, errors.Wrap(err, "changes")
	}
	if found {
		elements[i] = data
		return elements, nil
	}
	return slices.Insert(elements, i, data), nil
}

// Diff returns the changes from one encoded registry to a later one of the same epoch, ordered by
// revision. Records that the later registry lacks were deleted at unknown revisions, so their
// deletions get the given revision, which is that of the later registry. Only records that differ
// are decoded.
func Diff(earlier, later []byte, revision uint64) ([]Record, error) {
	oldElements, err := SplitRecords(earlier)
	if err != nil {
		return nil, err
	}
	newElements, err := SplitRecords(later)
	if err != nil {
		return nil, err
	}
	var changes, deletions []Record
	i, j := 0, 0
	for i < len(oldElements) || j < len(newElements) {
		if i < len(oldElements) && j < len(newElements) && bytes.Equal(oldElements[i], newElements[j]) {
			i, j = i+1, j+1
			continue
		}
		order, err := compareFirst(oldElements[i:], newElements[j:])
		if err != nil {
			return nil, err
		}
		if order <= 0 {
			i++
		}
		if order >= 0 {
			var r Record
			if err := json.Unmarshal(newElements[j], &r); err != nil {
				return nil, errors.Wrap(err, "registry")
			}
			changes = append(changes, r)
			j++
			continue
		}
		key, err := keyOf(oldElements[i-1])
		if err != nil {
			return nil, err
		}
		deletions = append(deletions, Record{ID: key.id, ClosedDataCenter: key.closedDataCenter, Revision: revision, Content: json.RawMessage("null"), Deleted: true})
	}
	slices.SortStableFunc(changes, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	return append(changes, deletions...), nil
}

// compareFirst compares the keys of the first records; an empty list sorts last.
func compareFirst(a, b [][]byte) (int, error) {
	if len(a) == 0 {
		return 1, nil
	}
	if len(b) == 0 {
		return -1, nil
	}
	keyA, err := keyOf(a[0])
	if err != nil {
		return 0, err
	}
	keyB, err := keyOf(b[0])
	return compareKeys(keyA, keyB), err
}

// keyOf decodes the key of an encoded record.
func keyOf(element []byte) (recordKey, error) {
	var r struct {
		ID               string `json:"id"`
		ClosedDataCenter string `json:"closes"`
	}
	err := json.Unmarshal(element, &r)
	return recordKey{r.ID, r.ClosedDataCenter}, errors.Wrap(err, "registry")
}

// SplitRecords splits an encoded registry into its encoded records without decoding them. Input
// that Registry.Encode hasn't written gives an error, or records that fail to decode.
func SplitRecords(content []byte) ([][]byte, error) {
	if len(content) < 2 || content[0] != '[' || content[len(content)-1] != ']' {
		return nil, errors.New("registry: not a list")
	}
	body := content[1 : len(content)-1]
	if len(body) == 0 {
		return nil, nil
	}
	var elements [][]byte
	depth, start := 0, 0
	for i := 0; i < len(body); i++ {
		switch body[i] {
		case '"':
			i += jsontext.StringLen(body[i:]) - 1
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		case ',':
			if depth == 0 {
				elements = append(elements, body[start:i])
				start = i + 1
			}
		}
	}
	if depth != 0 {
		return nil, errors.New("registry: unterminated record")
	}
	return append(elements, body[start:]), nil
}
