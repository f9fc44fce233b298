// Package examples embeds the settings files of two example deployments.
package examples

import "embed"

// Files contains luntiang.json and vysocina.json.
//
//go:embed *.json
var Files embed.FS
