package daemon

import (
	"github.com/spf13/cobra"

	"hyssoploom/cli"
	"hyssoploom/demo"
)

// DemoCommand returns the command that shows the main job on embedded
// stand-ins.
func DemoCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "demo",
		Short:   "Run a whole fleet on embedded stand-ins and show what it does",
		Example: "  hyssoploom demo",
		Args:    cli.WithUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return demo.Run(cmd.Context(), cmd.OutOrStdout())
		},
	}
}
