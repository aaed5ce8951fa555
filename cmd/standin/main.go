// Command standin runs a stand-in for a service of the platform or for a backend
// server as a process of its own, for tests.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"hyssoploom/dialect"
	"hyssoploom/standin"
)

const readHeaderTimeout = 5 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use:          "standin",
		Short:        "Run a stand-in for a platform service or a backend server",
		Example:      "  standin engine --listen 127.0.0.1:0 --load small@1",
		SilenceUsage: true,
	}
	listen := root.PersistentFlags().String("listen", "127.0.0.1:0", "loopback host:port to listen on")
	newSubcommand := func(use, short string, handler func() http.Handler) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), *listen, handler())
		}}
	}
	root.AddCommand(
		newSubcommand("store", "Key-value store", func() http.Handler { return standin.NewStore().Handler() }),
		newSubcommand("vmlist", "List of VMs", func() http.Handler { return standin.NewVMList().Handler() }),
		newSubcommand("rater", "Rating service", func() http.Handler { return standin.NewRater(standin.RaterOptions{}).Handler() }),
		newSubcommand("booking", "Booking runner", func() http.Handler {
			return standin.NewBookingRunner(standin.BookingFaults{}).Handler()
		}),
		engineCommand(listen),
	)
	return root
}

func engineCommand(listen *string) *cobra.Command {
	var loaded []string
	var config standin.EngineConfig
	cmd := &cobra.Command{Use: "engine", Short: "Model engine", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		for _, text := range loaded {
			model, version, ok := strings.Cut(text, "@")
			if !ok {
				return fmt.Errorf("--load %q is not of the form model@version", text)
			}
			config.Loaded = append(config.Loaded, dialect.ModelRef{Model: model, Version: version})
		}
		return serve(cmd.Context(), *listen, standin.NewEngine(config).Handler())
	}}
	flags := cmd.Flags()
	flags.StringSliceVar(&loaded, "load", nil, "model versions that are loaded at the start, as model@version")
	flags.DurationVar(&config.TokenDelay, "token-delay", 0, "time between two tokens")
	flags.IntVar(&config.Tokens, "tokens", 0, "number of tokens of an answer; 0 varies it with the prompt")
	flags.BoolVar(&config.Resumes, "resumes", false, "continue streams that began on another engine")
	return cmd
}

// serve prints the URL that it listens on, which tests read, and serves until ctx ends.
func serve(ctx context.Context, addr string, handler http.Handler) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	fmt.Printf("http://%s\n", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); ctx.Err() == nil {
		return err
	}
	return nil
}
