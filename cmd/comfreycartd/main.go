// Command comfreycartd is the node: one process beside each backend server.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/config"
	"comfreycart.dev/comfreycart/internal/logging"
	"comfreycart.dev/comfreycart/internal/node"
)

const (
	// memoryLimitFraction is the part of a process's memory that the collector aims to stay in.
	memoryLimitFraction = 0.8
	// gcPercent makes the collector run at half the usual growth of the heap: on
	// small VMs memory is scarcer than processor time.
	gcPercent = 50
)

type cli struct {
	Config string `required:"" help:"The node's file." type:"path" env:"COMFREYCART_CONFIG"`
	Check  bool   `help:"Check the node's file and exit."`
}

// runner is a node.
type runner interface {
	Run(ctx context.Context) error
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
	out := logging.NewWriter(os.Stdout)
	defer out.Close()
	log := logging.New(out, cfg.ID)
	go out.ReportDropped(ctx, log)
	go validateFileOnHangup(ctx, c.Config, log)
	n, err := newNode(cfg, log)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

func newNode(cfg *config.Node, log zerolog.Logger) (runner, error) {
	if cfg.Mesh == nil {
		return node.New(cfg, node.BaseLog(log))
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(cfg.Mesh.MemoryBytes())))
	return node.NewMesh(cfg, node.BaseLog(log))
}

// validateFileOnHangup checks the node's file on each SIGHUP. What it says is in force from the
// next start; a file with a fault changes nothing.
func validateFileOnHangup(ctx context.Context, path string, log zerolog.Logger) {
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		if _, err := config.Load(path); err != nil {
			log.Error().Err(err).Msg("node file reloaded, it has a fault")
			continue
		}
		log.Info().Msg("node file reloaded, it is in force from the next start")
	}
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("comfreycartd"), kong.Description("One comfreycart node."))
	k.FatalIfErrorf(k.Run())
}
