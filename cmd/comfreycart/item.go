package main

import (
	"context"
	"encoding/json"
	"os"

	"comfreycart.dev/comfreycart/internal/operator"
	"comfreycart.dev/comfreycart/internal/settings"
)

// item names one item of a team's subtree, and under which conditions to change it.
type item struct {
	remote
	Team     string `arg:""`
	Section  string `arg:"" help:"services, accounts or routes."`
	Name     string `arg:""`
	ChangeID string `help:"Make resubmissions under this ID one change."`
	Match    string `help:"Change only if the item still has this ETag."`
}

func (i *item) change() operator.ChangeOptions { return operator.ChangeOptions{ID: i.ChangeID, IfMatch: i.Match} }

type setCmd struct {
	item
	Value string `arg:"" help:"The item as JSON."`
}

// Run sets the item.
func (c *setCmd) Run(ctx context.Context) error {
	a, err := c.client.PutItem(ctx, c.Team, c.Section, c.Name, json.RawMessage(c.Value), c.change())
	return printAccepted(a, err, c.JSON)
}

type deleteCmd struct {
	item
}

// Run deletes the item.
func (c *deleteCmd) Run(ctx context.Context) error {
	a, err := c.client.DeleteItem(ctx, c.Team, c.Section, c.Name, c.change())
	return printAccepted(a, err, c.JSON)
}

type schemaCmd struct{}

// Run prints the schema.
func (c *schemaCmd) Run() error {
	data, err := settings.Schema()
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(append(data, '\n'))
	return err
}
