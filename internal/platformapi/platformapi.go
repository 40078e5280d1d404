// Package platformapi holds the messages of the platform's configuration
// service, which the system can only read and watch.
package platformapi

// Names of the published values.
const (
	// Table is the operators' table.
	Table = "table"
	// Fleet is the list of VMs, endpoints and workspaces.
	Fleet = "fleet"
)

// Paths of the service.
const (
	// PathValues, with a name, reads one value.
	PathValues = "/v1/values/"
	// PathWatch waits for values with revisions above those given.
	PathWatch = "/v1/watch"
)

// ParamWait of a watch is for how long it waits for news. Every other parameter
// is the name of a value, with the revision above which it is asked for.
const ParamWait = "wait_ms"

// Names lists the published values.
func Names() []string { return []string{Table, Fleet} }

// Value is one published value. Revisions rise over all values together.
type Value struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Content  []byte `json:"content"`
}

// Update answers a read or a watch: the values that are newer than asked for.
type Update struct {
	Values []Value `json:"values"`
}
