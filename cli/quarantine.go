package cli

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"hyssoploom/config"
)

func (g *globalFlags) quarantineCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "quarantine MODEL VERSION",
		Short:   "Stop all new work on a model version",
		Example: "  hyssoploom quarantine small v3 --reason \"wrong units in quotes\"",
		Args:    WithUsageError(cobra.ExactArgs(2)),
	}
	output := addOutputFlag(cmd)
	reason := cmd.Flags().String("reason", "", "why the version is quarantined (required)")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if *reason == "" {
			return ExitErrorf(CodeUsage, "--reason is required")
		}
		return g.setQuarantine(cmd, *output, args[0], args[1], &config.Quarantine{Reason: *reason, Since: time.Now().UTC()})
	}
	cmd.AddCommand(g.liftCommand(), g.quarantineListCommand())
	return cmd
}

func (g *globalFlags) liftCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "lift MODEL VERSION",
		Short:   "End the quarantine of a model version",
		Example: "  hyssoploom quarantine lift small v3",
		Args:    WithUsageError(cobra.ExactArgs(2)),
	}
	output := addOutputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return g.setQuarantine(cmd, *output, args[0], args[1], nil)
	}
	return cmd
}

// setQuarantine writes a quarantine, or its tombstone if q is nil, unless another
// writer has changed the record since it was read.
func (g *globalFlags) setQuarantine(cmd *cobra.Command, f outputFormat, model, version string, q *config.Quarantine) error {
	store, snap, err := g.loadFromStore(cmd.Context())
	if err != nil {
		return err
	}
	view, key := snap.View(), config.QuarantineKey(model, version)
	message, err := checkQuarantine(view, model, version, q != nil)
	if err != nil || message != "" {
		if err == nil && f == formatText {
			fmt.Fprintln(cmd.OutOrStdout(), message)
		} else if err == nil {
			err = printResults(cmd.OutOrStdout(), f, nil)
		}
		return err
	}
	e := config.Envelope{SchemaVersion: config.LatestSchema(config.KindQuarantine), Kind: config.KindQuarantine,
		Name: model + "/" + version, Deleted: q == nil}
	op := "lift"
	if q != nil {
		e.Spec, op = q, "quarantine"
	}
	current, _ := snap.Get(key) // revision 0 if there is none
	p, err := g.newPendingWrite(key, op, current.Revision, e)
	if err != nil {
		return err
	}
	results := []Result{p.write(cmd.Context(), store)}
	if err := printResults(cmd.OutOrStdout(), f, results); err != nil {
		return err
	}
	return resultsError(results)
}

// checkQuarantine returns an error if the version cannot be quarantined or lifted, and
// a message if it is already quarantined so that there is nothing to do.
func checkQuarantine(v *config.View, model, version string, wanted bool) (message string, err error) {
	quarantined := v.Quarantined(model, version)
	if !wanted {
		if !quarantined {
			return "", ExitErrorf(CodeNotFound, "%s@%s is not quarantined", model, version)
		}
		return "", nil
	}
	if quarantined {
		return fmt.Sprintf("%s@%s is already quarantined", model, version), nil
	}
	m, ok := v.Models[model]
	if !ok {
		return "", ExitErrorf(CodeNotFound, "unknown model %q", model)
	}
	if _, ok := m.Version(version); !ok {
		return "", ExitErrorf(CodeNotFound, "model %q has no version %q", model, version)
	}
	return "", nil
}

func (g *globalFlags) quarantineListCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "list",
		Short:   "List the quarantines in force",
		Example: "  hyssoploom quarantine list -o json",
		Args:    WithUsageError(cobra.NoArgs),
	}
	output := addOutputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		_, snap, err := g.loadFromStore(cmd.Context())
		if err != nil {
			return err
		}
		list := snap.View().Quarantines()
		if *output == formatJSON {
			return printJSON(cmd.OutOrStdout(), map[string]any{"quarantines": append([]config.QuarantineEntry{}, list...)})
		}
		t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "MODEL\tVERSION\tSINCE\tWRITER\tREASON")
		for _, q := range list {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", q.Model, q.Version, q.Since.Format(time.RFC3339), q.Writer, q.Reason)
		}
		return t.Flush()
	}
	return cmd
}
