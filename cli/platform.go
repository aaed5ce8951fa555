package cli

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"hyssoploom/fleet"
	"hyssoploom/platform"
)

// platformStatusTimeout limits how long platform status reads the store.
const platformStatusTimeout = 10 * time.Second

// platformCommand returns the parent of the commands for the users' platform.
func (g *globalFlags) platformCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Check and show a deployment on the users' platform",
		Example: "  hyssoploom platform status --store kv://10.200.1.7:8223\n" +
			"  hyssoploom platform check --settings gateway.toml",
		Args: WithUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(g.platformCheckCommand(), g.platformStatusCommand())
	return cmd
}

// platformStatusCommand returns the command that shows the state of the store as a
// gateway that starts now would read it.
func (g *globalFlags) platformStatusCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show the configuration, backend servers, roll-outs and entries in the platform's store",
		Example: "  hyssoploom platform status --store kv://10.200.1.7:8223",
		Args:    WithUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			address, ok := strings.CutPrefix(g.storeURL, platformScheme)
			if !ok {
				return ExitErrorf(CodeUsage, "set --store or %s to %sHOST:PORT", EnvStore, platformScheme)
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), platformStatusTimeout)
			defer cancel()
			view, rejected, err := platform.ReadView(ctx, platform.NewStore(address))
			if err != nil {
				return ExitErrorf(CodeUnavailable, "cannot read the store at %s: %w", address, err)
			}
			return printPlatformStatus(cmd.OutOrStdout(), view, rejected)
		},
	}
}

func printPlatformStatus(out io.Writer, view *fleet.View, rejected []fleet.Rejected) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if view.Config == nil {
		fmt.Fprintln(w, "configuration\tnone")
	} else {
		fmt.Fprintf(w, "configuration\tversion %d\t%d routes\t%d services\n", view.Config.Version, len(view.Config.Routes()), len(view.Config.Services))
	}
	for _, service := range slices.Sorted(maps.Keys(view.ByService)) {
		counts := make(map[string]int)
		for _, s := range view.ByService[service] {
			state := "ready"
			switch {
			case s.Draining:
				state = "draining"
			case s.ColdRemaining > 0:
				state = "cold"
			}
			counts[s.DataCentre+"\t"+s.Version+"\t"+state]++
		}
		for _, group := range slices.Sorted(maps.Keys(counts)) {
			fmt.Fprintf(w, "backend servers\t%s\t%s\t%d\n", service, group, counts[group])
		}
	}
	for _, service := range slices.Sorted(maps.Keys(view.Orders)) {
		r, _ := view.Rollout(service)
		elapsed := ""
		if progress := view.Progress[service]; progress.Order == r.Revision {
			elapsed = fmt.Sprintf("at least %v of %v", time.Duration(progress.ElapsedMS)*time.Millisecond, r.Duration)
		}
		fmt.Fprintf(w, "roll-out\t%s\tto %s\t%s\t%s\n", service, r.Target, r.Outcome, elapsed)
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(view.OutOfService)) {
		if view.OutOfService[dataCentre] {
			fmt.Fprintf(w, "out of service\t%s\n", dataCentre)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(view.Peers)) {
		fmt.Fprintf(w, "entry\t%s\t%s\t%s\n", name, view.Peers[name].DataCentre, view.Peers[name].Address)
	}
	for _, r := range rejected {
		fmt.Fprintf(w, "not understood\t%s\t%v\n", r.Key, r.Err)
	}
	return w.Flush()
}
