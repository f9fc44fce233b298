//go:build race

package script

const raceEnabled = true
