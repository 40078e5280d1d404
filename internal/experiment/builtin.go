package experiment

import (
	"embed"
	"fmt"
	"path"

	"github.com/bridgehoist/bridgehoist/internal/experiment/scenario"
)

//go:embed scenarios/*.toml
var files embed.FS

// Builtin lists the scenarios that come with the tool, in the order of their files.
func Builtin() []*scenario.Scenario {
	entries, err := files.ReadDir("scenarios")
	if err != nil {
		panic(fmt.Sprintf("embedded scenarios: %v", err))
	}
	var out []*scenario.Scenario
	for _, e := range entries {
		out = append(out, builtin(path.Join("scenarios", e.Name())))
	}
	return out
}

func builtin(name string) *scenario.Scenario {
	data, err := files.ReadFile(name)
	if err != nil {
		panic(fmt.Sprintf("embedded scenario: %v", err))
	}
	sc, err := scenario.Parse(name, data)
	if err != nil {
		panic(fmt.Sprintf("embedded scenario: %v", err))
	}
	return sc
}
