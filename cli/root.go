// Package cli implements the command line of hyssoploom and its operator commands.
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

// The environment variables with the defaults of --store and --writer.
const (
	EnvStore  = "HYSSOPLOOM_STORE"
	EnvWriter = "HYSSOPLOOM_WRITER"
)

// platformScheme is the URL scheme of --store for the store of the users' platform.
const platformScheme = "kv://"

// globalFlags holds the values of the persistent flags of the root command.
type globalFlags struct {
	storeURL string
	writer   string
}

// New returns the root command with the operator commands.
func New() *cobra.Command {
	g := &globalFlags{}
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

// Run executes a command line, prints its error to stderr, and returns the exit code.
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

// WithUsageError wraps an argument check so that its errors have CodeUsage and show
// the usage line.
func WithUsageError(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return ExitErrorf(CodeUsage, "%w; usage: %s", err, cmd.UseLine())
		}
		return nil
	}
}

// defaultWriter returns the value of EnvWriter or, if it is unset, user@host.
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

// store returns a client of the store that --store selects.
func (g *globalFlags) store() (dialect.Store, error) {
	if g.storeURL == "" {
		return nil, ExitErrorf(CodeUsage, "no store: set --store or %s", EnvStore)
	}
	if address, ok := strings.CutPrefix(g.storeURL, platformScheme); ok {
		return platform.StoreAdapter{Store: platform.NewStore(address)}, nil
	}
	return dialect.NewHTTPStore(g.storeURL), nil
}

// loadSnapshot reads all records from the store. It also returns the revision of the
// store.
func loadSnapshot(ctx context.Context, store dialect.Store) (*config.Snapshot, uint64, error) {
	snapshot := config.NewSnapshot()
	var storeRevision uint64
	for _, prefix := range config.Prefixes() {
		kvs, revision, err := store.List(ctx, prefix)
		if err != nil {
			return nil, 0, fmt.Errorf("cannot read records: %w", err)
		}
		storeRevision = max(storeRevision, revision)
		records := make([]config.Record, 0, len(kvs))
		for _, kv := range kvs {
			records = append(records, config.Record{Key: kv.Key, Revision: kv.Revision, Raw: kv.Value})
		}
		snapshot.ApplyPrefixList(prefix, records, revision)
	}
	return snapshot, storeRevision, nil
}

// loadFromStore returns the store that --store selects and all records in it.
func (g *globalFlags) loadFromStore(ctx context.Context) (dialect.Store, *config.Snapshot, error) {
	store, err := g.store()
	if err != nil {
		return nil, nil, err
	}
	snap, _, err := loadSnapshot(ctx, store)
	return store, snap, err
}

// outputFormat is the value of --output. It implements pflag.Value.
type outputFormat string

const (
	formatText outputFormat = "text"
	formatJSON outputFormat = "json"
)

func (f *outputFormat) String() string { return string(*f) }

func (f *outputFormat) Type() string { return "format" }

func (f *outputFormat) Set(s string) error {
	if v := outputFormat(s); v == formatText || v == formatJSON {
		*f = v
		return nil
	}
	return fmt.Errorf("%q is neither %s nor %s", s, formatText, formatJSON)
}

// addOutputFlag adds --output and its short form -o to a command.
func addOutputFlag(cmd *cobra.Command) *outputFormat {
	f := formatText
	cmd.Flags().VarP(&f, "output", "o", "output format: text or json")
	return &f
}

// printJSON writes v as an indented JSON document without HTML escaping.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
