package stream_test

import (
	"fmt"

	"github.com/bridgehoist/bridgehoist/pkg/stream"
)

func ExampleAssembler() {
	var a stream.Assembler
	g := stream.Generation{Endpoint: "engine-1", Incarnation: 1, ID: "g"}
	other := stream.Generation{Endpoint: "engine-2", Incarnation: 1, ID: "h"}
	fmt.Println(a.Accept(stream.Chunk{Generation: g, Index: 0}))
	fmt.Println(a.Accept(stream.Chunk{Generation: g, Index: 0}))
	fmt.Println(a.Accept(stream.Chunk{Generation: other, Index: 1}))
	fmt.Println(a.Accept(stream.Chunk{Generation: g, Index: 1, Final: true}), a.Ended())
	// Output:
	// deliver
	// duplicate
	// foreign
	// deliver true
}
