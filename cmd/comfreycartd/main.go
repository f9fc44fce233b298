// Command comfreycartd runs a node. There is one node on each VM, next to the backend servers.
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
	// memoryLimitFraction is the Go memory limit as a fraction of the memory that the process
	// may use.
	memoryLimitFraction = 0.8
	// gcPercent makes the garbage collector run at half the default heap growth, because on
	// small VMs memory is scarcer than CPU time.
	gcPercent = 50
)

type cli struct {
	Config string `required:"" help:"The node's configuration file." type:"path" env:"COMFREYCART_CONFIG"`
	Check  bool   `help:"Validate the configuration file and exit."`
}

// runner is a node of either kind.
type runner interface {
	Run(ctx context.Context) error
}

// Run runs the node until SIGTERM or an interrupt, which start a planned stop.
func (c *cli) Run() error {
	// SIGHUP ends a process that does not handle it, so it is handled until the process ends, also
	// during a planned stop.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	// By default, a write to the standard output ends the process if its reader is gone.
	signal.Ignore(syscall.SIGPIPE)
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
	go validateFileOnHangup(hangups, c.Config, log)
	n, err := newNode(cfg, log)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

// newNode assembles the kind of node that cfg asks for. For a mesh, where the process has a limited
// amount of memory, it also configures the garbage collector.
func newNode(cfg *config.Node, log zerolog.Logger) (runner, error) {
	if cfg.Mesh == nil {
		return node.New(cfg, node.BaseLog(log))
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(cfg.Mesh.MemoryBytes())))
	return node.NewMesh(cfg, node.BaseLog(log))
}

// validateFileOnHangup validates the configuration file on each hangup and logs the result. It does not
// apply the file: changes take effect at the next start.
func validateFileOnHangup(hangups <-chan os.Signal, path string, log zerolog.Logger) {
	for range hangups {
		if _, err := config.Load(path); err != nil {
			log.Error().Err(err).Msg("configuration file is invalid")
			continue
		}
		log.Info().Msg("configuration file is valid, changes take effect at the next start")
	}
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("comfreycartd"), kong.Description("Run a comfreycart node."))
	k.FatalIfErrorf(k.Run())
}
