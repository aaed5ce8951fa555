package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"hyssoploom/config"
	"hyssoploom/dialect"
)

func (g *globalFlags) checkCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "check DIR",
		Short: "Validate a directory of declarations",
		Long: "Validates the *.toml files of a directory. Without a store, references are resolved\n" +
			"within the directory; with one, also among the records in force.",
		Example: "  hyssoploom check ./records",
		Args:    WithUsageError(cobra.ExactArgs(1)),
	}
	output := addOutputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		snap := config.NewSnapshot()
		if g.storeURL != "" {
			var err error
			if _, snap, err = g.loadFromStore(cmd.Context()); err != nil {
				return err
			}
		}
		decls, issues := config.LoadFS(os.DirFS(args[0]))
		issues = append(issues, config.ValidateChange(snap.View(), decls, false)...)
		if err := reportIssues(cmd.OutOrStdout(), *output, issues); err != nil {
			return err
		}
		if *output == formatText {
			fmt.Fprintf(cmd.OutOrStdout(), "%d records are valid\n", len(decls))
		}
		return nil
	}
	return cmd
}

// reportIssues prints the issues and returns an error with CodeInvalid if there are
// any. The JSON list is printed even if it is empty.
func reportIssues(w io.Writer, f outputFormat, issues []config.Issue) error {
	if f == formatJSON {
		if err := printJSON(w, map[string]any{"issues": append([]config.Issue{}, issues...)}); err != nil {
			return err
		}
	}
	if len(issues) == 0 {
		return nil
	}
	if f == formatText {
		for _, i := range issues {
			fmt.Fprintln(w, i.Error())
		}
	}
	return ExitErrorf(CodeInvalid, "%d issues found; nothing was written", len(issues))
}

// planChanges loads and validates a directory of declarations and returns the changes
// that apply would make to the store.
func (g *globalFlags) planChanges(ctx context.Context, dir string, prune bool) (dialect.Store, []config.Change, []config.Issue, error) {
	decls, issues := config.LoadFS(os.DirFS(dir))
	if len(issues) > 0 {
		return nil, nil, issues, nil
	}
	store, snap, err := g.loadFromStore(ctx)
	if err != nil {
		return nil, nil, nil, err
	}
	changes := config.Diff(snap, decls, prune)
	issues = config.ValidateChange(snap.View(), decls, prune)
	for _, c := range changes {
		if c.Op == config.OpBlocked {
			issues = append(issues, config.Issue{Record: c.Record(), Reason: c.Reason + " in the store; use a newer hyssoploom"})
		}
	}
	return store, changes, issues, nil
}

func (g *globalFlags) diffCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "diff DIR",
		Short:   "Show what apply would change",
		Example: "  hyssoploom diff ./records --prune",
		Args:    WithUsageError(cobra.ExactArgs(1)),
	}
	output := addOutputFlag(cmd)
	prune := cmd.Flags().Bool("prune", false, "include records that the directory lacks")
	exitCode := cmd.Flags().Bool("exit-code", false, fmt.Sprintf("exit with %d if there are differences", CodeDiffers))
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		_, changes, issues, err := g.planChanges(cmd.Context(), args[0], *prune)
		if err != nil {
			return err
		}
		if len(issues) > 0 {
			return reportIssues(cmd.OutOrStdout(), *output, issues)
		}
		if err := printChanges(cmd.OutOrStdout(), *output, changes); err != nil {
			return err
		}
		if *exitCode && len(changes) > 0 {
			return ExitErrorf(CodeDiffers, "%d records differ", len(changes))
		}
		return nil
	}
	return cmd
}

func printChanges(w io.Writer, f outputFormat, changes []config.Change) error {
	if f == formatJSON {
		return printJSON(w, map[string]any{"changes": append([]config.Change{}, changes...)})
	}
	for _, c := range changes {
		fmt.Fprintf(w, "%s %s", c.Op, c.Record())
		if c.Writer != "" {
			fmt.Fprintf(w, " (revision %d by %s)", c.Revision, c.Writer)
		}
		fmt.Fprintln(w)
		for _, f := range c.Fields {
			fmt.Fprintf(w, "    %s: %s -> %s\n", f.Path, formatValue(f.Old), formatValue(f.New))
		}
	}
	if len(changes) == 0 {
		fmt.Fprintln(w, "no differences")
	}
	return nil
}

// formatValue formats one side of a changed field; a missing value is "(none)".
func formatValue(v any) string {
	if v == nil {
		return "(none)"
	}
	return fmt.Sprint(v)
}

func (g *globalFlags) applyCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "apply DIR",
		Short: "Write a directory of declarations to the store",
		Long: "Validates the directory together with the records in force, prints the differences and\n" +
			"writes each record unless another writer has changed it since it was read.",
		Example: "  hyssoploom apply ./records --store http://10.0.0.2:7000",
		Args:    WithUsageError(cobra.ExactArgs(1)),
	}
	output := addOutputFlag(cmd)
	prune := cmd.Flags().Bool("prune", false, "delete records that the directory lacks")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		store, changes, issues, err := g.planChanges(cmd.Context(), args[0], *prune)
		if err != nil {
			return err
		}
		if len(issues) > 0 {
			return reportIssues(cmd.OutOrStdout(), *output, issues)
		}
		writes, err := g.encodeChanges(changes)
		if err != nil {
			return err
		}
		if *output == formatText {
			if err := printChanges(cmd.OutOrStdout(), *output, changes); err != nil {
				return err
			}
		}
		results := writeAll(cmd.Context(), store, writes)
		if err := printResults(cmd.OutOrStdout(), *output, results); err != nil {
			return err
		}
		return resultsError(results)
	}
	return cmd
}

// encodeChanges encodes all records before the first one is written, so that a record
// that cannot be encoded stops the command before it changes the store.
func (g *globalFlags) encodeChanges(changes []config.Change) ([]pendingWrite, error) {
	writes := make([]pendingWrite, 0, len(changes))
	for _, c := range changes {
		e := config.Envelope{Kind: c.Kind, Name: c.Name, SchemaVersion: config.LatestSchema(c.Kind), Deleted: c.Op == config.OpDelete}
		if d := c.Declaration; d != nil {
			e.SchemaVersion, e.Spec = d.SchemaVersion, d.Spec
		}
		p, err := g.newPendingWrite(config.Key(c.Kind, c.Name), string(c.Op), c.Revision, e)
		if err != nil {
			return nil, &ExitError{Code: CodeInvalid, Err: err}
		}
		writes = append(writes, p)
	}
	return writes, nil
}

// writeAll writes the records in order. When the store is unavailable or the command
// is interrupted, the remaining records are not attempted.
func writeAll(ctx context.Context, store dialect.Store, writes []pendingWrite) []Result {
	results := make([]Result, 0, len(writes))
	var abortErr error
	for _, w := range writes {
		if abortErr == nil && ctx.Err() != nil {
			abortErr = errors.New("interrupted")
		}
		if abortErr != nil {
			results = append(results, w.result(Unavailable, 0, "not attempted: "+abortErr.Error()))
			continue
		}
		r := w.write(ctx, store)
		if r.Outcome == Unavailable {
			abortErr = errors.New("the store is unavailable")
		}
		results = append(results, r)
	}
	return results
}

func printResults(w io.Writer, f outputFormat, results []Result) error {
	if f == formatJSON {
		return printJSON(w, map[string]any{"records": append([]Result{}, results...)})
	}
	for _, r := range results {
		fmt.Fprintln(w, r)
	}
	return nil
}
