// Package cli is the command line of hyssoploom.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"

	"github.com/spf13/cobra"

	"hyssoploom/config"
	"hyssoploom/dialect"
	"hyssoploom/platform"
)

// The environment variables that stand in for flags.
const (
	EnvStore  = "HYSSOPLOOM_STORE"
	EnvWriter = "HYSSOPLOOM_WRITER"
)

// platformScheme before a host:port names the store of the users' platform.
const platformScheme = "kv://"

// globals are the values of the flags that all commands share.
type globals struct {
	storeURL string
	writer   string
}

// New returns the root command with the operator commands.
func New() *cobra.Command {
	g := &globals{}
	root := &cobra.Command{
		Use:           "hyssoploom",
		Short:         "Model-aware router: daemons and operator commands",
		Example:       "  hyssoploom apply ./records --store http://10.0.0.2:7000",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return ExitErrorf(CodeUsage, "unknown command %q; see hyssoploom --help", args[0])
			}
			return cmd.Help()
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return ExitErrorf(CodeUsage, "%w", err) })
	flags := root.PersistentFlags()
	flags.StringVar(&g.storeURL, "store", os.Getenv(EnvStore), "base URL of the store, or "+platformScheme+"HOST:PORT on the users' platform (env "+EnvStore+")")
	flags.StringVar(&g.writer, "writer", defaultWriter(), "name recorded as the writer of changes (env "+EnvWriter+")")
	root.AddCommand(g.checkCommand(), g.applyCommand(), g.diffCommand(), g.getCommand(), g.statusCommand(),
		g.quarantineCommand(), g.billCommand(), explainCommand(), g.platformCommand(), versionCommand())
	return root
}

// Run executes a command line and returns its exit code.
func Run(ctx context.Context, root *cobra.Command, args []string, stdout, stderr io.Writer) Code {
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintf(stderr, "hyssoploom: %v\n", err)
	}
	return CodeOf(err)
}

// WithUsageError makes an argument check fail with CodeUsage.
func WithUsageError(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return ExitErrorf(CodeUsage, "%w; usage: %s", err, cmd.UseLine())
		}
		return nil
	}
}

// defaultWriter names the operator as user@host.
func defaultWriter() string {
	if w := os.Getenv(EnvWriter); w != "" {
		return w
	}
	name, host := "unknown", "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	if h, err := os.Hostname(); err == nil {
		host = h
	}
	return name + "@" + host
}

func (g *globals) store() (dialect.Store, error) {
	if g.storeURL == "" {
		return nil, ExitErrorf(CodeUsage, "no store: set --store or %s", EnvStore)
	}
	if address, ok := strings.CutPrefix(g.storeURL, platformScheme); ok {
		return platform.ProductStore{Store: platform.NewStore(address)}, nil
	}
	return dialect.NewHTTPStore(g.storeURL), nil
}

// load reads all records from the store. The returned revision is the store's.
func load(ctx context.Context, store dialect.Store) (*config.Snapshot, uint64, error) {
	snap := config.NewSnapshot()
	var newest uint64
	for _, prefix := range config.Prefixes() {
		kvs, revision, err := store.List(ctx, prefix)
		if err != nil {
			return nil, 0, fmt.Errorf("cannot read records: %w", err)
		}
		newest = max(newest, revision)
		records := make([]config.Record, 0, len(kvs))
		for _, kv := range kvs {
			records = append(records, config.Record{Key: kv.Key, Revision: kv.Revision, Raw: kv.Value})
		}
		snap.AdoptPrefix(prefix, records, revision)
	}
	return snap, newest, nil
}

// load reads all records from the store of the flags.
func (g *globals) load(ctx context.Context) (dialect.Store, *config.Snapshot, error) {
	store, err := g.store()
	if err != nil {
		return nil, nil, err
	}
	snap, _, err := load(ctx, store)
	return store, snap, err
}

// format is the value of -o.
type format string

const (
	formatText format = "text"
	formatJSON format = "json"
)

func (f *format) String() string { return string(*f) }

func (f *format) Type() string { return "format" }

func (f *format) Set(s string) error {
	if v := format(s); v == formatText || v == formatJSON {
		*f = v
		return nil
	}
	return fmt.Errorf("%q is neither %s nor %s", s, formatText, formatJSON)
}

// outputFlag adds -o to a command.
func outputFlag(cmd *cobra.Command) *format {
	f := formatText
	cmd.Flags().VarP(&f, "output", "o", "output format: text or json")
	return &f
}

// printJSON writes an indented JSON document.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
