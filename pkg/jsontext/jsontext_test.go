package jsontext_test

import (
	"testing"

	"github.com/bridgehoist/bridgehoist/pkg/jsontext"
)

// TestPruneLosesNothingAboveItsDepth: brackets in strings don't count.
func TestPruneLosesNothingAboveItsDepth(t *testing.T) {
	for text, want := range map[string]string{
		`{"a":[1,[2]],"b":{"c":{}}}`: `{"a":[1,null],"b":{"c":null}}`,
		`{"a":"[[[","b":["\"}",[]]}`: `{"a":"[[[","b":["\"}",null]}`,
		`[[[[]],{"a":[1]}],2]`:       `[[null,null],2]`,
		`7`:                          `7`,
		`[[[`:                        `[[null`,
		`]]`:                         `]]`,
	} {
		if got := string(jsontext.Prune([]byte(text), 2)); got != want {
			t.Errorf("%s: %s", text, got)
		}
	}
}

func TestSeparatorsAtADepth(t *testing.T) {
	for text, want := range map[string]int{
		`{"a":[1,[2,3],4],"b":[5,6]}`: 3,
		`{"a":"[,","b":["\",",{}]}`:   1,
		`[,,`:                         0,
		`]],`:                         0,
	} {
		if got := jsontext.Separators([]byte(text), 2); got != want {
			t.Errorf("%s: %d", text, got)
		}
	}
}
