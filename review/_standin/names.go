package main

import (
	_ "embed"
	"strings"
)

// platformNames lists the platform's names of headers, paths and variables, one per line
// after the name that this program uses.
//
//go:embed names.txt
var platformNames string

var names = func() map[string]string {
	list := make(map[string]string)
	for line := range strings.Lines(platformNames) {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			list[key] = value
		}
	}
	return list
}()

// name returns the platform's name of a header, path or variable.
func name(key string) string {
	value, ok := names[key]
	if !ok {
		panic("no name of the platform for " + key)
	}
	return value
}
