package fleet_test

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// drawHistory draws changes of a few records, some with ids and contents that JSON escapes.
func drawHistory(t *rapid.T) []fleet.Record {
	var history []fleet.Record
	ids := []string{"e0", "e1", "e1,", `e"]`, "é<", "", "e10"}
	for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
		c := fleet.Record{ID: rapid.SampledFrom(ids).Draw(t, "id"), Revision: uint64(2 * (i + 1))}
		c.Content = []byte(fmt.Sprintf(`{"n": %d, "t": "],<\"{", "l": [[1],{}]}`, i))
		if c.ID == "" {
			c.ClosedDataCenter = rapid.SampledFrom([]string{"dc", "dc&"}).Draw(t, "closes")
		}
		c.Deleted = rapid.IntRange(0, 2).Draw(t, "deleted") == 0
		history = append(history, c)
	}
	return history
}

func encodeRegistry(t *rapid.T, changes []fleet.Record) []byte {
	r := fleet.NewRegistry()
	r.Apply(0, changes)
	data, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestPatchMatchesRegistry checks that patching an encoded registry gives the bytes of the
// registry with all changes, whichever of them it already contained.
func TestPatchMatchesRegistry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		applied := rapid.IntRange(0, len(history)).Draw(t, "had")
		first := rapid.IntRange(0, applied).Draw(t, "from")
		revision := uint64(0)
		if applied > 0 {
			revision = history[applied-1].Revision
		}
		data, err := fleet.EncodeChanges(history[first:])
		if err != nil {
			t.Fatal(err)
		}
		changes, err := fleet.DecodeChanges(data)
		if err != nil {
			t.Fatal(err)
		}
		patched, err := fleet.Patch(encodeRegistry(t, history[:applied]), revision, changes)
		if err != nil {
			t.Fatal(err)
		}
		if want := encodeRegistry(t, history); !bytes.Equal(patched, want) {
			t.Fatalf("got\n%s\nwant\n%s", patched, want)
		}
	})
}

// FuzzPatch checks that any registry and changes from a peer give an error or a JSON array.
func FuzzPatch(f *testing.F) {
	f.Add([]byte(`[{"id":"a","revision":1,"content":{}}]`), []byte(`[{"id":"b","revision":2,"content":1}]`))
	f.Add([]byte(`[]`), []byte(`[{"id":"b","revision":2,"content":null,"deleted":true}]`))
	f.Add([]byte(`[{"id":"a"},[}`), []byte(`null`))
	f.Fuzz(func(t *testing.T, content, data []byte) {
		changes, err := fleet.DecodeChanges(data)
		if err != nil {
			return
		}
		patched, err := fleet.Patch(content, 0, changes)
		if err == nil && (len(patched) < 2 || patched[0] != '[' || patched[len(patched)-1] != ']') {
			t.Fatalf("%q", patched)
		}
	})
}

// TestDiffThenPatchGivesLaterRegistry checks that the difference between two registries, applied
// to the earlier one, gives the later one.
func TestDiffThenPatchGivesLaterRegistry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		applied := rapid.IntRange(0, len(history)).Draw(t, "had")
		before, after := encodeRegistry(t, history[:applied]), encodeRegistry(t, history)
		revision := uint64(0)
		if applied > 0 {
			revision = history[applied-1].Revision
		}
		changes, err := fleet.Diff(before, after, history[len(history)-1].Revision)
		if err != nil {
			t.Fatal(err)
		}
		data, err := fleet.EncodeChanges(changes)
		if err != nil {
			t.Fatal(err)
		}
		if changes, err = fleet.DecodeChanges(data); err != nil {
			t.Fatal(err)
		}
		patched, err := fleet.Patch(before, revision, changes)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(patched, after) {
			t.Fatalf("got\n%s\nwant\n%s", patched, after)
		}
	})
}
