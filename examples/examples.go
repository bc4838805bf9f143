// Package examples holds the sample files that the demonstration runs on.
package examples

import _ "embed"

// Manifest is the sample manifest, JSON with comments.
//
//go:embed manifest.jsonc
var Manifest []byte
