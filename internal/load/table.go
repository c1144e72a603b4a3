package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes summaries as text: rows by policy for the priority classes, the
// bookings, and the small and large accounts; the totals of each policy; and the
// accounts of the first summary.
func WriteTable(out io.Writer, summaries []*Summary) error {
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "policy\twork\toffered\tcompleted\tin target\tnot run\tunknown\tbroken\tnot sent\tfirst p50 ms\tp95 ms\tp99 ms\tgap p95 ms\t\n")
	for _, s := range summaries {
		rows := append(append([]*Stats(nil), s.Classes...), s.Small, s.Large)
		for _, row := range rows {
			if row.Offered > 0 {
				writeRow(t, s.Policy, row)
			}
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, s := range summaries {
		if err := writeTotals(out, s); err != nil {
			return err
		}
	}
	return writeAccounts(out, summaries[0])
}

func writeRow(out io.Writer, policy string, row *Stats) {
	fmt.Fprintf(out, "%s\t%s\t%d\t%.1f%%\t%.1f%%\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
		policy, row.Name, row.Offered, 100*row.Share(), 100*row.InTargetShare(),
		row.NotRun, row.Unknown, row.Broken, row.NotSent, row.FirstP50, row.FirstP95, row.FirstP99, row.GapP95)
}

func writeTotals(out io.Writer, s *Summary) error {
	_, err := fmt.Fprintf(out, "\n%s: Jain's index of the small accounts %.3f; bookings run twice %s; bookings falsely not-run %s; group steps %s, with two maps %s; mean step over best %.3f; score %.3f\n",
		s.Policy, s.Jain, formatCount(int64(s.BookingsRunTwice)), formatCount(int64(s.FalseNotRun)), formatCount(s.Steps), formatCount(s.StepsWithTwoMaps),
		s.StepOverBest, s.Score)
	if err != nil {
		return err
	}
	for _, list := range []struct {
		name   string
		counts []Count
	}{{"refusals", s.Reasons}, {"faults", s.Errors}} {
		for _, c := range list.counts {
			if _, err := fmt.Fprintf(out, "  %s: %s %d\n", list.name, c.Name, c.Count); err != nil {
				return err
			}
		}
	}
	return nil
}

// formatCount formats a count; a negative one is not available.
func formatCount(n int64) string {
	if n < 0 {
		return "not known"
	}
	return fmt.Sprint(n)
}

func writeAccounts(out io.Writer, s *Summary) error {
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\naccount (%s)\toffered\tcompleted\tin target\ttokens\tfirst p95 ms\t\n", s.Policy)
	for _, row := range s.Accounts {
		fmt.Fprintf(t, "%s\t%d\t%.1f%%\t%.1f%%\t%d\t%.1f\t\n", row.Name, row.Offered, 100*row.Share(), 100*row.InTargetShare(), row.Tokens, row.FirstP95)
	}
	return t.Flush()
}
