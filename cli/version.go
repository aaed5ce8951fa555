package cli

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// buildVersion is the build information of the running binary.
type buildVersion struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func versionCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "version",
		Short:   "Print the version of this binary",
		Example: "  hyssoploom version -o json",
		Args:    WithUsageError(cobra.NoArgs),
	}
	output := addOutputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		v := readVersion()
		if *output == formatJSON {
			return printJSON(cmd.OutOrStdout(), v)
		}
		fmt.Fprintf(cmd.OutOrStdout(), "hyssoploom %s %s %s\n", v.Version, v.Revision, v.Go)
		return nil
	}
	return cmd
}

func readVersion() buildVersion {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return buildVersion{Version: "unknown"}
	}
	v := buildVersion{Version: info.Main.Version, Go: info.GoVersion}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v.Revision = s.Value
		}
	}
	return v
}
