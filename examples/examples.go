// Package examples embeds the settings of two deployments.
package examples

import "embed"

// Files holds luntiang.json and vysocina.json.
//
//go:embed *.json
var Files embed.FS
