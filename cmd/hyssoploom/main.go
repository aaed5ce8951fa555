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
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	root := cli.New()
	root.AddCommand(daemon.EntryCommand(), daemon.AgentCommand(), daemon.GatewayCommand(), daemon.DemoCommand())
	code := cli.Run(ctx, root, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}
