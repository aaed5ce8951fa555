package cli

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"hyssoploom/ledger"
)

// dateLayout is the layout of --from and --to.
const dateLayout = time.DateOnly

func (g *globalFlags) billCommand() *cobra.Command {
	var workspace, from, to string
	var rows bool
	cmd := &cobra.Command{
		Use:   "bill",
		Short: "Add up the charges in the store",
		Long: "Adds up the charges in the store. Each request counts once, however often its charge was written.\n" +
			"Charges that a process has not written yet, for example during a store outage, are missing.",
		Example: "  hyssoploom bill --workspace aljibe --from 2027-03-01 --to 2027-04-01",
		Args:    WithUsageError(cobra.NoArgs),
	}
	flags := cmd.Flags()
	flags.StringVar(&workspace, "workspace", "", "only this workspace")
	flags.StringVar(&from, "from", "", "first day, as YYYY-MM-DD in UTC")
	flags.StringVar(&to, "to", "", "day after the last, as YYYY-MM-DD in UTC")
	flags.BoolVar(&rows, "rows", false, "list every charge row instead of sums")
	output := addOutputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		filter := ledger.Filter{Workspace: workspace}
		for _, day := range []struct {
			flag, text string
			at         *time.Time
		}{{"from", from, &filter.From}, {"to", to, &filter.To}} {
			if err := parseDate(day.flag, day.text, day.at); err != nil {
				return err
			}
		}
		store, err := g.store()
		if err != nil {
			return err
		}
		charges, err := ledger.Read(cmd.Context(), store)
		if err != nil {
			return fmt.Errorf("cannot read the ledger: %w", err)
		}
		if rows {
			return printRows(cmd.OutOrStdout(), *output, charges.Select(filter))
		}
		return printBill(cmd.OutOrStdout(), *output, charges.Bill(filter))
	}
	return cmd
}

// parseDate stores the date of a flag in dst, or leaves dst unchanged if the flag is
// empty.
func parseDate(flag, text string, dst *time.Time) error {
	if text == "" {
		return nil
	}
	day, err := time.Parse(dateLayout, text)
	if err != nil {
		return ExitErrorf(CodeUsage, "--%s: %q is not a date of the form YYYY-MM-DD", flag, text)
	}
	*dst = day
	return nil
}

func printBill(w io.Writer, f outputFormat, bill ledger.Bill) error {
	if f == formatJSON {
		return printJSON(w, bill)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "WORKSPACE\tMODEL\tVERSION\tSERVICE\tROWS\tTOKENS IN\tTOKENS OUT\tAMOUNT")
	for _, l := range bill.Lines {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n",
			l.Workspace, l.Model, l.Version, l.Service, l.Rows, l.TokensIn, l.TokensOut, l.Amount)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d requests, %d micro-units\n", bill.Requests, bill.Amount)
	return err
}

func printRows(w io.Writer, f outputFormat, rows []ledger.Row) error {
	if f == formatJSON {
		return printJSON(w, rows)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "AT\tWORKSPACE\tREQUEST\tSTAGE\tMODEL\tVERSION\tSERVICE\tTOKENS OUT\tAMOUNT\tOUTCOME")
	for _, r := range rows {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%d\t%d\t%s\n", r.At.Format(time.RFC3339),
			r.Workspace, r.RequestID, r.Stage, r.Model, r.Version, r.Service, r.TokensOut, r.Amount, r.Outcome)
	}
	return tw.Flush()
}
