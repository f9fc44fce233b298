package main

import "context"

type keyCmd struct {
	Grant    grantCmd    `cmd:"" help:"Create a key for an account; it is printed only once."`
	Withdraw withdrawCmd `cmd:"" help:"Withdraw a key."`
}

type grantCmd struct {
	remote
	Team    string `arg:""`
	Account string `arg:""`
	Note    string `help:"Note for other operators."`
}

// Run creates a key and prints it.
func (c *grantCmd) Run(ctx context.Context) error {
	a, err := c.client.GrantKey(ctx, c.Team, c.Account, c.Note, newChange(""))
	return printAccepted(a, err, c.JSON)
}

type withdrawCmd struct {
	remote
	Team     string `arg:""`
	Account  string `arg:""`
	ID       string `arg:"" help:"The key's ID, as printed when it was granted."`
	ChangeID string `help:"ID of the change; submissions with the same ID count as one change."`
}

// Run withdraws a key.
func (c *withdrawCmd) Run(ctx context.Context) error {
	a, err := c.client.WithdrawKey(ctx, c.Team, c.Account, c.ID, newChange(c.ChangeID))
	return printAccepted(a, err, c.JSON)
}
