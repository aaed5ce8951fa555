// Command hyssoploom is the binary of the daemons and of the operator commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"hyssoploom/cli"
	"hyssoploom/daemon"
)

func main() {
	// The signals stay handled until the process has ended, so that none changes its exit code.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	root := cli.New()
	root.AddCommand(daemon.EntryCommand(), daemon.AgentCommand(), daemon.GatewayCommand(), daemon.DemoCommand())
	os.Exit(int(cli.Run(ctx, root, os.Args[1:], os.Stdout, os.Stderr)))
}
