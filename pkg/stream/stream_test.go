package stream_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/bridgehoist/bridgehoist/internal/fixedseed"
	"github.com/bridgehoist/bridgehoist/pkg/invariant"
	"github.com/bridgehoist/bridgehoist/pkg/stream"
)

func init() { fixedseed.Set() }

// TestOneGeneration feeds an assembler random chunks of several generations, among
// them delayed, duplicated, missing and reordered ones, with resets in between.
func TestOneGeneration(t *testing.T) {
	defer invariant.Strict()()
	rapid.Check(t, func(t *rapid.T) {
		var a stream.Assembler
		length := rapid.IntRange(1, 8).Draw(t, "length")
		released := ""
		for range rapid.IntRange(0, 60).Draw(t, "chunks") {
			if rapid.IntRange(0, 9).Draw(t, "reset") == 0 {
				if a.Reset() != (released == "") {
					t.Fatal("Reset succeeded after a token was released, or failed before")
				}
			}
			c := drawChunk(t, length)
			next, bound := a.Next(), false
			gen, bound := a.Generation()
			verdict := a.Accept(c)
			if bound && c.Generation != gen && verdict != stream.Foreign {
				t.Fatalf("verdict on chunk of %v is %v, bound to %v", c.Generation, verdict, gen)
			}
			if verdict == stream.Deliver && c.Index != next {
				t.Fatalf("delivered %d, want %d", c.Index, next)
			}
			if verdict == stream.Deliver && !c.Final && rapid.Bool().Draw(t, "release") && a.Released() == c.Index {
				a.Release(c.Generation, c.Index)
				released += c.Text
			}
		}
		gen, _ := a.Generation()
		want := ""
		for i := range a.Released() {
			want += tokenText(gen, i)
		}
		if released != want {
			t.Fatalf("released %q of %v, want %q", released, gen, want)
		}
	})
}

func tokenText(g stream.Generation, i int) string {
	return fmt.Sprintf("%s/%d.%d ", g.Endpoint, g.Incarnation, i)
}

func drawChunk(t *rapid.T, length int) stream.Chunk {
	g := stream.Generation{
		Endpoint:    rapid.SampledFrom([]string{"a", "b"}).Draw(t, "endpoint"),
		Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
		ID:          rapid.SampledFrom([]string{"g1", "g2"}).Draw(t, "id"),
	}
	i := rapid.IntRange(0, length).Draw(t, "index")
	return stream.Chunk{Generation: g, Index: i, Text: tokenText(g, i), Final: i == length}
}
