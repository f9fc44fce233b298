// Command comfreycartd is the node: one process beside each backend server.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/config"
	"comfreycart.dev/comfreycart/internal/node"
)

type cli struct {
	Config string `required:"" help:"The node's file." type:"path"`
	Check  bool   `help:"Check the node's file and exit."`
}

// Run runs the node until it is told to stop.
func (c *cli) Run() error {
	cfg, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Println("ok")
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := zerolog.New(os.Stderr).With().Timestamp().Str("node", cfg.ID).Logger()
	n, err := node.New(cfg, node.BaseLog(log))
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("comfreycartd"), kong.Description("One comfreycart node."))
	k.FatalIfErrorf(k.Run())
}
