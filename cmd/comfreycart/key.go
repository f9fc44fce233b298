package main

import "context"

type keyCmd struct {
	Grant    grantCmd    `cmd:"" help:"Make a key for an account; it is printed once."`
	Withdraw withdrawCmd `cmd:"" help:"End a key."`
}

type grantCmd struct {
	remote
	Team    string `arg:""`
	Account string `arg:""`
	Note    string `help:"Note for people."`
}

// Run grants a key.
func (c *grantCmd) Run(ctx context.Context) error {
	a, err := c.client.GrantKey(ctx, c.Team, c.Account, c.Note, newChange(""))
	return printAccepted(a, err, c.JSON)
}

type withdrawCmd struct {
	remote
	Team     string `arg:""`
	Account  string `arg:""`
	ID       string `arg:"" help:"The key's ID, as printed when it was granted."`
	ChangeID string `help:"Make resubmissions under this ID one change."`
}

// Run withdraws a key.
func (c *withdrawCmd) Run(ctx context.Context) error {
	a, err := c.client.WithdrawKey(ctx, c.Team, c.Account, c.ID, newChange(c.ChangeID))
	return printAccepted(a, err, c.JSON)
}
