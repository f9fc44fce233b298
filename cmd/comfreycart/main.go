// Command comfreycart is the operator's tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"comfreycart.dev/comfreycart/internal/operator"
)

// remote holds the flags of the commands that call a node.
type remote struct {
	Admin string `required:"" env:"COMFREYCART_ADMIN" help:"URL of a node's admin listener."`
	Token string `required:"" env:"COMFREYCART_TOKEN" help:"Admin token."`
	CA    string `name:"ca" env:"COMFREYCART_CA" type:"existingfile" help:"PEM file of the authority that signed the admin listener's certificate."`
	JSON  bool   `name:"json" help:"Print JSON."`

	client *operator.Client
}

// AfterApply makes the client once the flags are known.
func (r *remote) AfterApply() error {
	r.client = operator.New(r.Admin, r.Token)
	if r.CA == "" {
		return nil
	}
	return r.client.TrustCA(r.CA)
}

type cli struct {
	Check  checkCmd  `cmd:"" help:"Check a settings file without a node."`
	Get    getCmd    `cmd:"" help:"Print the settings in force."`
	Diff   diffCmd   `cmd:"" help:"Print what apply would change."`
	Apply  applyCmd  `cmd:"" help:"Put a settings file in force."`
	Set    setCmd    `cmd:"" help:"Add or replace one service, account or route."`
	Delete deleteCmd `cmd:"" help:"Delete one service, account or route."`
	Schema schemaCmd `cmd:"" help:"Print the JSON Schema of settings files."`
	Key    keyCmd    `cmd:"" help:"Grant and withdraw keys."`
	Status statusCmd `cmd:"" help:"Print a node's view of the fleet."`
	Demo   demoCmd   `cmd:"" help:"Run a small fleet in this process."`
}

func main() {
	var c cli
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	k := kong.Parse(&c, kong.Name("comfreycart"), kong.Description("Operate a comfreycart fleet."))
	k.BindTo(ctx, (*context.Context)(nil))
	k.FatalIfErrorf(k.Run())
}
