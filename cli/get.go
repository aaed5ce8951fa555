package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"hyssoploom/config"
	"hyssoploom/dialect"
)

// storedRecord is the JSON output for one record of the store.
type storedRecord struct {
	Key      string          `json:"key"`
	Revision uint64          `json:"revision"`
	Record   json.RawMessage `json:"record"`
	Error    string          `json:"error,omitempty"`

	envelope config.Envelope
}

func (g *globalFlags) getCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "get KIND [NAME]",
		Short: "Print records from the store",
		Long: "Prints one record as a declaration that apply accepts, or a table of all records of a\n" +
			"kind. With -o json it prints the stored envelopes.",
		Example: "  hyssoploom get model small --schema 1\n  hyssoploom get workspace -o json",
		Args:    WithUsageError(cobra.RangeArgs(1, 2)),
	}
	output := addOutputFlag(cmd)
	schema := cmd.Flags().Int("schema", 0, "print in this schema version; fails if it cannot express the record")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		kind := config.Kind(args[0])
		if !slices.Contains(config.Kinds(), kind) {
			return ExitErrorf(CodeUsage, "%q is not a kind; use one of %q", kind, config.Kinds())
		}
		if *schema != 0 && !slices.Contains(config.SchemaVersions(kind), *schema) {
			return ExitErrorf(CodeUsage, "kind %s has the schema versions %v", kind, config.SchemaVersions(kind))
		}
		store, err := g.store()
		if err != nil {
			return err
		}
		if len(args) == 2 {
			return printRecord(cmd.Context(), cmd.OutOrStdout(), store, *output, config.Key(kind, args[1]), *schema)
		}
		return printRecords(cmd.Context(), cmd.OutOrStdout(), store, *output, kind, *schema)
	}
	return cmd
}

// newStoredRecord decodes a stored record and converts it to a schema version unless
// schema is 0. A record that cannot be decoded is returned with its Error set.
func newStoredRecord(kv dialect.KV, schema int) (storedRecord, error) {
	e, err := config.Decode(kv.Key, kv.Value)
	s := storedRecord{Key: kv.Key, Revision: kv.Revision, Record: kv.Value, envelope: e}
	if err != nil {
		s.Error = err.Error()
		if !json.Valid(kv.Value) {
			s.Record, _ = json.Marshal(string(kv.Value)) // a string can always be encoded
		}
		return s, nil
	}
	if schema != 0 && !e.Deleted {
		s.envelope.SchemaVersion = schema
		raw, err := config.Encode(s.envelope)
		if err != nil {
			return s, &ExitError{Code: CodeInvalid, Err: err}
		}
		s.Record = raw
	}
	return s, nil
}

// printRecord prints the record of one key.
func printRecord(ctx context.Context, w io.Writer, store dialect.Store, f outputFormat, key string, schema int) error {
	kv, err := store.Get(ctx, key)
	if err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	s, err := newStoredRecord(kv, schema)
	switch {
	case err != nil:
		return err
	case f == formatJSON:
		return printJSON(w, s)
	case s.Error != "":
		return ExitErrorf(CodeInvalid, "%s: %s", key, s.Error)
	case s.envelope.Deleted:
		return ExitErrorf(CodeNotFound, "%s was deleted by %s at revision %d", key, s.envelope.Writer, kv.Revision)
	}
	b, err := config.EncodeTOML(s.envelope.Kind, s.envelope.Name, s.envelope.SchemaVersion, s.envelope.Spec)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "# revision %d by %s\n%s", kv.Revision, s.envelope.Writer, b)
	return nil
}

// printRecords prints all records of a kind that are not deleted.
func printRecords(ctx context.Context, w io.Writer, store dialect.Store, f outputFormat, kind config.Kind, schema int) error {
	kvs, _, err := store.List(ctx, config.Key(kind, ""))
	if err != nil {
		return err
	}
	records := []storedRecord{}
	for _, kv := range kvs {
		s, err := newStoredRecord(kv, schema)
		if err != nil {
			return err
		}
		if !s.envelope.Deleted {
			records = append(records, s)
		}
	}
	if f == formatJSON {
		return printJSON(w, map[string]any{"records": records})
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tREVISION\tSCHEMA\tWRITER\tPROBLEM")
	for _, s := range records {
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\n", s.envelope.Name, s.Revision, s.envelope.SchemaVersion, s.envelope.Writer, s.Error)
	}
	return table.Flush()
}
