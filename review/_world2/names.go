package main

import (
	_ "embed"
	"strings"
)

// platformNames lists the platform's names of headers, paths and variables, one a line after
// the name that this program uses. In Go files they stand in platform/ only.
//
//go:embed names.txt
var platformNames string

// name returns the platform's name of a header, path or variable.
func name(key string) string {
	for line := range strings.Lines(platformNames) {
		if known, value, ok := strings.Cut(strings.TrimSpace(line), " "); ok && known == key {
			return value
		}
	}
	panic("no name of the platform for " + key)
}
