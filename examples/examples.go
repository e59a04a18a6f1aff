// Package examples embeds the example configurations of two users and the settings
// of three daemons, so that the demonstration runs from any directory.
package examples

import "embed"

// Files holds the directories tally, chlebnet and settings, and the machine list
// of a fleet that is started by hand.
//
//go:embed tally/*.yaml chlebnet/*.yaml settings/*.yaml machines.json
var Files embed.FS
