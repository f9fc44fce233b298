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

// Run prints the operations of a JSON patch from the current settings to those in the file, one
// per line.
func (c *diffCmd) Run(ctx context.Context) error {
	proposed, err := readTree(c.File)
	if err != nil {
		return err
	}
	current, _, err := c.client.Tree(ctx)
	if err != nil {
		return err
	}
	patch, err := jsondiff.Compare(current, proposed)
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
