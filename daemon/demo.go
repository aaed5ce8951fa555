package daemon

import (
	"github.com/spf13/cobra"

	"hyssoploom/cli"
	"hyssoploom/demo"
)

// DemoCommand returns the command that runs the demo: a fleet in one process, with
// stand-ins for the platform and the backend servers.
func DemoCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "demo",
		Short:   "Run a whole fleet with embedded stand-ins and show how it handles requests",
		Example: "  hyssoploom demo",
		Args:    cli.WithUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return demo.Run(cmd.Context(), cmd.OutOrStdout())
		},
	}
}
