// Package measure computes statistics of recorded histories: the share of reads served by replicas,
// the failover gap, and latencies and outcomes of requests.
package measure

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dewknot/internal/lab/history"
)

// Row summarizes the requests of a kind.
type Row struct {
	Kind                string
	OK, NotRun, Unknown int
	P50, P99            time.Duration
}

// Summary summarizes a run.
type Summary struct {
	Rows []Row
	// ReplicaReads and PrimaryReads count the successful reads by the server's role.
	ReplicaReads, PrimaryReads int
}

// ReplicaShare returns the fraction of successful reads that replicas served.
func (s *Summary) ReplicaShare() float64 {
	total := s.ReplicaReads + s.PrimaryReads
	if total == 0 {
		return 0
	}
	return float64(s.ReplicaReads) / float64(total)
}

// Limits of the latency histograms, in microseconds.
const (
	histogramMinimum = 1
	histogramMaximum = int64(time.Hour / time.Microsecond)
	histogramDigits  = 3
)

// Summarize summarizes the operations that start at from or later and before to.
func Summarize(operations []history.Operation, from, to time.Duration) *Summary {
	rows := map[string]*Row{}
	times := map[string]*hdrhistogram.Histogram{}
	summary := &Summary{}
	for _, operation := range operations {
		if operation.Start < from || operation.Start >= to {
			continue
		}
		row := rows[operation.Kind]
		if row == nil {
			row = &Row{Kind: operation.Kind}
			rows[operation.Kind] = row
			times[operation.Kind] = hdrhistogram.New(histogramMinimum, histogramMaximum, histogramDigits)
		}
		row.count(operation)
		if operation.Outcome != history.OK {
			continue
		}
		_ = times[operation.Kind].RecordValue(max((operation.End - operation.Start).Microseconds(), histogramMinimum))
		summary.countRead(operation)
	}
	for kind, row := range rows {
		row.P50 = time.Duration(times[kind].ValueAtQuantile(50)) * time.Microsecond
		row.P99 = time.Duration(times[kind].ValueAtQuantile(99)) * time.Microsecond
		summary.Rows = append(summary.Rows, *row)
	}
	sort.Slice(summary.Rows, func(i, j int) bool { return summary.Rows[i].Kind < summary.Rows[j].Kind })
	return summary
}

func (r *Row) count(operation history.Operation) {
	switch operation.Outcome {
	case history.OK:
		r.OK++
	case history.NotRun:
		r.NotRun++
	default:
		r.Unknown++
	}
}

func (s *Summary) countRead(operation history.Operation) {
	switch {
	case operation.Type != history.Read:
	case operation.FromReplica:
		s.ReplicaReads++
	default:
		s.PrimaryReads++
	}
}

// Totals returns the number of requests of all kinds by outcome.
func (s *Summary) Totals() (succeeded, notRun, unknown int) {
	for _, row := range s.Rows {
		succeeded += row.OK
		notRun += row.NotRun
		unknown += row.Unknown
	}
	return succeeded, notRun, unknown
}

// Print writes the rows as a table.
func (s *Summary) Print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "%-20s %8s %8s %8s %10s %10s\n", "kind", "ok", "not run", "unknown", "p50", "p99")
	for _, row := range s.Rows {
		_, _ = fmt.Fprintf(out, "%-20s %8d %8d %8d %10s %10s\n", row.Kind, row.OK, row.NotRun, row.Unknown, row.P50.Round(10*time.Microsecond), row.P99.Round(10*time.Microsecond))
	}
}

// FailoverGap returns the time from the loss of a group's primary to the next acknowledged write.
// Acknowledgements shortly after the loss are ignored, as they may have been in flight. ok is false
// if writes did not resume.
func FailoverGap(operations []history.Operation, group string, lostAt time.Duration) (gap time.Duration, ok bool) {
	// inFlight is how long after the loss acknowledgements are ignored.
	const inFlight = 100 * time.Millisecond
	resumed := time.Duration(0)
	for _, operation := range operations {
		acknowledged := operation.Type != history.Read && operation.Outcome == history.OK && operation.Group == group
		if !acknowledged || operation.End <= lostAt+inFlight {
			continue
		}
		if resumed == 0 || operation.End < resumed {
			resumed = operation.End
		}
	}
	return resumed - lostAt, resumed > 0
}

// Quantile returns a quantile of durations, or 0 if there are none. It sorts the durations.
func Quantile(durations []time.Duration, quantile float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[min(int(quantile*float64(len(durations))), len(durations)-1)]
}
