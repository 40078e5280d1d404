package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/operatorapi"
)

func ms(v int64) time.Duration { return time.Duration(v) * time.Millisecond }

func writeStatus(out io.Writer, st *operatorapi.Status) {
	fmt.Fprintf(out, "%s in %s: ready %v, stopping %v, up %v, waiting %d, tickets running %d, records %d\n",
		st.VM, st.DataCenter, st.Ready, st.Stopping, ms(st.UptimeMS), st.Waiting, st.Tickets.Running, st.Tickets.Records)
	for _, v := range st.Values {
		fmt.Fprintf(out, "%s: revision %d in force for %v, highest seen %d\n", v.Name, v.Revision, ms(v.AgeMS), v.SeenRevision)
	}
	for _, e := range st.TableErrors {
		fmt.Fprintf(out, "refused: %s\n", e)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "entry\tdata centre\tstatus\tage")
	for _, m := range st.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\n", m.VM, m.DataCenter, m.Status, ms(m.AgeMS))
	}
	fmt.Fprintln(w, "endpoint\tleaving\tbreaker\town\tpeers\tprojected\tcapacity\tgap ms\treport age\tpreemptions")
	for _, e := range st.Endpoints {
		fmt.Fprintf(w, "%s\t%v\t%s\t%d\t%d\t%.0f\t%d\t%.1f\t%v\t%d\n", e.ID, e.Leaving, e.Breaker, e.Running,
			e.PeersRunning, e.Projected, e.Capacity, e.GapMS, ms(e.ReportAgeMS), e.Preemptions)
	}
	for name, n := range st.Violations {
		if n > 0 {
			fmt.Fprintf(w, "VIOLATED\t%s\t%d\n", name, n)
		}
	}
}

// writeWaiting prints the requests that wait for the same target in their order.
func writeWaiting(out io.Writer, waiting []operatorapi.WaitingRequest) {
	if len(waiting) == 0 {
		return
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "workspace\tkind\trank\tpriority\twaited ms\tleft ms\tshare used\tmost pending tokens\twaits for")
	for _, r := range waiting {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%.2f\t%.0f\t%s\n",
			r.Workspace, r.Kind, r.Rank, r.Priority, r.WaitedMS, r.LeftMS, r.UsedShare, r.MaxBacklog, r.Reason)
	}
	w.Flush()
}

func writeExplanation(out io.Writer, x *operatorapi.Explanation) {
	fmt.Fprintf(out, "table revision %d, row %s\n", x.Revision, x.Row)
	fmt.Fprintf(out, "in flight %d of %d, queued %d of %d\n", x.InFlight, x.MaxInFlight, x.Queued, x.MaxQueued)
	fmt.Fprintf(out, "waiting for the same target %d, expected wait %s\n", x.Ahead, x.ExpectedWait)
	fmt.Fprintf(out, "projected tokens %.0f\n", x.Projected)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "endpoint\tlocal\tleaving\tbroken\tfill\tfits\tslowness\tkept\ttier\tstart_ms\tgap_ratio\tscore")
	for _, c := range x.Candidates {
		fmt.Fprintf(w, "%s\t%v\t%v\t%v\t%.2f\t%v\t%.2f\t%v\t%d\t%d\t%.2f\t%.2f\n",
			c.ID, c.Local, c.Leaving, c.Broken, c.Fill, c.Fits, c.Slowness, c.Kept, c.Tier, c.StartMS, c.GapRatio, c.Score)
	}
	w.Flush()
	writeWaiting(out, x.Waiting)
	if x.Chosen == "" {
		fmt.Fprintln(out, "no endpoint now: the request would wait")
		return
	}
	fmt.Fprintf(out, "best before jitter: %s\n", x.Chosen)
}
