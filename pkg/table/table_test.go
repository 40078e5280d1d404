package table_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/table"
)

func TestTable(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "table")
}

var header = strings.Join(table.Columns, ",") + "\n"

var _ = Describe("a table", func() {
	It("is parsed from the examples", func() {
		files, err := filepath.Glob("../../examples/*.csv")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(HaveLen(2))
		for _, f := range files {
			data, err := os.ReadFile(f)
			Expect(err).NotTo(HaveOccurred())
			_, err = table.Parse(f, data)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("prefers the row of the exact workspace", func() {
		t, err := table.Parse("t", []byte(header+"*,k,m,1,1,1,1,1s,2s,yes\nw,k,m,2,1,1,1,1s,2s,no\n"))
		Expect(err).NotTo(HaveOccurred())
		row, _ := t.Lookup("w", "k")
		Expect(row.Weight).To(Equal(2))
		row, _ = t.Lookup("other", "k")
		Expect(row.Weight).To(Equal(1))
		_, ok := t.Lookup("w", "other")
		Expect(ok).To(BeFalse())
	})

	It("reports every finding with its line and column", func() {
		_, err := table.Parse("t", []byte(header+"*,k,,0,10,x,-1,5s,1s,maybe\n*,k,m,1,1,1,1,1s,2s,yes\nshort\n"))
		Expect(strings.Split(err.Error(), "\n")).To(ConsistOf(
			"t:2: target: empty",
			"t:2: weight: 0 is not within 1 to 1000000",
			"t:2: priority: 10 is not within 0 to 9",
			`t:2: max_in_flight: "x" is not a whole number`,
			"t:2: max_queued: -1 is not within 0 to 1000000",
			`t:2: idempotent: "maybe" is neither yes nor no`,
			"t:2: max_queue_time: 5s is longer than the timeout 1s",
			"t:3: kind: same workspace and kind as line 2",
			"t:4: 1 fields, want 10",
		))
	})

	DescribeTable("is rejected as a whole", func(text, finding string) {
		_, err := table.Parse("t", []byte(text))
		Expect(err).To(MatchError(ContainSubstring(finding)))
	},
		Entry("an empty file", "", "no header"),
		Entry("a header without rows", header, "no rows"),
		Entry("missing columns", "workspace,kind\n", "weight: column missing"),
		Entry("unknown columns", header[:len(header)-1]+",extra\n", "extra: unknown column"),
		Entry("invalid UTF-8", "\xff", "not UTF-8"),
		Entry("invalid quoting", header+"\"a,b\n", "t:2"),
		Entry("too large", strings.Repeat("x", table.MaxBytes+1), "at most 1048576"),
	)
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(header + "*,k,m,1,1,1,1,1s,2s,yes\n"))
	f.Add([]byte("\"\n,"))
	f.Fuzz(func(t *testing.T, data []byte) {
		tb, err := table.Parse("t", data)
		if (tb == nil) == (err == nil) {
			t.Fatal("neither a table nor findings")
		}
		if tb == nil {
			return
		}
		for _, r := range tb.Rows() {
			if r.MaxQueueTime > r.Timeout || r.Timeout <= 0 || r.Weight < 1 {
				t.Fatalf("accepted %+v", r)
			}
		}
	})
}

func ExampleParse() {
	_, err := table.Parse("table.csv", []byte("workspace,kind\n"))
	fmt.Println(err.(table.Findings)[0])
	// Output: table.csv:1: target: column missing
}
