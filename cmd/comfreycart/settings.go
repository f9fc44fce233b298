package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"comfreycart.dev/comfreycart/internal/api/admin"
	"comfreycart.dev/comfreycart/internal/operator"
	"comfreycart.dev/comfreycart/internal/settings"
)

type checkCmd struct {
	File string `arg:"" help:"Settings file."`
}

// Run checks the file with the validation that nodes use.
func (c *checkCmd) Run() error {
	if _, err := readTree(c.File); err != nil {
		return err
	}
	fmt.Println("ok")
	return nil
}

type getCmd struct {
	remote
	Team    string `arg:"" optional:"" help:"Team; all settings if left out."`
	Section string `arg:"" optional:"" help:"services, accounts or routes."`
	Name    string `arg:"" optional:"" help:"Name of one item of the section."`
}

// Run prints settings as JSON.
func (c *getCmd) Run(ctx context.Context) error {
	if c.Team == "" {
		tree, _, err := c.client.Tree(ctx)
		return printJSON(tree, err)
	}
	if c.Section == "" {
		team, _, err := c.client.Team(ctx, c.Team)
		return printJSON(team, err)
	}
	if c.Name == "" {
		return fmt.Errorf("get %s %s: name the item too", c.Team, c.Section)
	}
	item, _, err := c.client.Item(ctx, c.Team, c.Section, c.Name)
	return printJSON(item, err)
}

type applyCmd struct {
	remote
	File     string `arg:"" help:"Settings file."`
	Team     string `help:"Apply the file as this team's subtree."`
	ChangeID string `help:"Make resubmissions under this ID one change."`
	Match    string `help:"Apply only if the settings still have this ETag."`
}

// Run puts the file in force.
func (c *applyCmd) Run(ctx context.Context) error {
	change := operator.ChangeOptions{ID: c.ChangeID, IfMatch: c.Match}
	if c.Team != "" {
		return c.applyTeam(ctx, change)
	}
	tree, err := readTree(c.File)
	if err != nil {
		return err
	}
	a, err := c.client.PutTree(ctx, tree, change)
	return printAccepted(a, err, c.JSON)
}

func (c *applyCmd) applyTeam(ctx context.Context, change operator.ChangeOptions) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	team, err := settings.ParseTeam(data)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	a, err := c.client.PutTeam(ctx, c.Team, team, change)
	return printAccepted(a, err, c.JSON)
}

func readTree(file string) (*settings.Tree, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	tree, err := settings.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return tree, nil
}

func printAccepted(a admin.Accepted, err error, asJSON bool) error {
	if err != nil {
		return err
	}
	if asJSON {
		return printJSON(a, nil)
	}
	fmt.Printf("accepted as version %d (change %s)\n", a.Version, a.ChangeID)
	if a.Key != "" {
		fmt.Printf("key %s\nid  %s\n", a.Key, a.KeyID)
	}
	return nil
}

func printJSON(v any, err error) error {
	if err != nil {
		return err
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
