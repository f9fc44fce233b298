package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"comfreycart.dev/comfreycart/internal/api/admin"
	"comfreycart.dev/comfreycart/internal/operator"
)

func newChange(id string) operator.ChangeOptions { return operator.ChangeOptions{ID: id} }

type statusCmd struct {
	remote
}

// Run prints the status.
func (c *statusCmd) Run(ctx context.Context) error {
	s, err := c.client.Status(ctx)
	if err != nil || c.JSON {
		return printJSON(s, err)
	}
	fmt.Printf("node %s: settings version %d, confirmed %d ms ago; highest known %d, settled %d\n\n",
		s.Node, s.SettingsVersion, s.StalenessMs, s.KnownVersion, s.SettledVersion)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tDOMAIN\tADDRESS\tSTATE\tVERSION\tENDPOINTS")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t", m.ID, m.Domain, m.Address, m.State, formatVersion(m))
		for _, e := range m.Endpoints {
			fmt.Fprintf(w, "%s:%d:%s ", e.Service, e.Slots, e.State)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// formatVersion tells a member's settings version, and how old that news is.
func formatVersion(m admin.Member) string {
	if m.SettingsVersion == 0 {
		return "not heard"
	}
	text := fmt.Sprintf("%d (%d ms ago)", m.SettingsVersion, m.HeardMs)
	if m.Lags {
		text += " lags"
	}
	return text
}
