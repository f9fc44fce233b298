// Command standin runs the stand-ins that tests use in place of the platform and
// of backend servers.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"comfreycart.dev/comfreycart/test/standin/backend"
	"comfreycart.dev/comfreycart/test/standin/platform"
)

type platformCmd struct {
	Listen string `required:"" help:"IP:port to listen at."`
}

// Run serves the platform stand-in.
func (c *platformCmd) Run() error {
	return http.ListenAndServe(c.Listen, platform.New().Handler())
}

type backendCmd struct {
	Node        string   `required:"" help:"URL of the node's backend listener."`
	Service     string   `required:"" help:"Service to announce."`
	Listen      string   `required:"" help:"IP:port to listen at."`
	Slots       int      `default:"8" help:"Calls that run at a time."`
	DelayMs     int      `help:"Time that a call holds its slot, in milliseconds."`
	Sub         []string `help:"Sub-call of each call, as METHOD:PATH."`
	PassFailure bool     `help:"Answer 502 when a sub-call fails."`
}

// Run serves the backend stand-in; on SIGTERM it announces that it drains first.
func (c *backendCmd) Run() error {
	b := backend.Behavior{DelayMs: c.DelayMs, PassFailure: c.PassFailure}
	for _, s := range c.Sub {
		method, path, _ := strings.Cut(s, ":")
		b.Subs = append(b.Subs, backend.SubCall{Method: method, Path: path})
	}
	s := backend.New(c.Node, c.Service, c.Listen, c.Slots, b)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	server := &http.Server{Addr: c.Listen, Handler: s.Handler()}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	go s.Announce(ctx)
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func main() {
	var cli struct {
		Platform platformCmd `cmd:"" help:"Run the platform stand-in."`
		Backend  backendCmd  `cmd:"" help:"Run a backend server stand-in."`
	}
	k := kong.Parse(&cli)
	k.FatalIfErrorf(k.Run())
}
