package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"comfreycart.dev/comfreycart/internal/operator"
)

func change(id string) operator.Change { return operator.Change{ID: id} }

type statusCmd struct {
	remote
}

// Run prints the status.
func (c *statusCmd) Run(ctx context.Context) error {
	s, err := c.client.Status(ctx)
	if err != nil || c.JSON {
		return printOr(s, err)
	}
	fmt.Printf("node %s: settings version %d, confirmed %d ms ago\n\n", s.Node, s.SettingsVersion, s.StalenessMs)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tDOMAIN\tADDRESS\tSTATE\tENDPOINTS")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t", m.ID, m.Domain, m.Address, m.State)
		for _, e := range m.Endpoints {
			fmt.Fprintf(w, "%s:%d:%s ", e.Service, e.Slots, e.State)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}
