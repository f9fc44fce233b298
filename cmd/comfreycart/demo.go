package main

import (
	"context"
	"os"

	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/demo"
)

type demoCmd struct {
	Deployment    string `default:"vysocina" enum:"vysocina,luntiang" help:"Example deployment: vysocina or luntiang."`
	AddressesFile string `type:"path" help:"Write the addresses and keys to this file, and run until interrupted."`
	Verbose       bool   `help:"Print the nodes' logs."`
}

// Run runs the demo.
func (c *demoCmd) Run(ctx context.Context) error {
	level := zerolog.ErrorLevel
	if c.Verbose {
		level = zerolog.DebugLevel
	}
	return demo.Run(ctx, demo.Options{
		Deployment: c.Deployment, AddressesFile: c.AddressesFile, Out: os.Stdout, LogLevel: level,
	})
}
