package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/wI2L/jsondiff"
)

type diffCmd struct {
	remote
	File string `arg:"" help:"Settings file."`
}

// Run prints the changes as a JSON patch, one operation a line.
func (c *diffCmd) Run(ctx context.Context) error {
	next, err := readTree(c.File)
	if err != nil {
		return err
	}
	now, _, err := c.client.Tree(ctx)
	if err != nil {
		return err
	}
	patch, err := jsondiff.Compare(now, next)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(patch, nil)
	}
	for _, op := range patch {
		value, err := json.Marshal(op.Value)
		if err != nil {
			return err
		}
		fmt.Printf("%-8s %s %s\n", op.Type, op.Path, value)
	}
	return nil
}
