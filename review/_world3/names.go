package main

import (
	_ "embed"
	"strings"
)

//go:embed names.txt
var namesText string

// names holds the platform's names of headers, calls and variables.
var names = readNames()

func readNames() map[string]string {
	m := make(map[string]string)
	for line := range strings.Lines(namesText) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		m[key] = value
	}
	return m
}
