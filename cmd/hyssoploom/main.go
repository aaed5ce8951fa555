// Command hyssoploom runs the daemons and the operator commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"hyssoploom/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, cli.New(), os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}
