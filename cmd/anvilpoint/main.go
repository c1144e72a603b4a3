// Command anvilpoint is a load balancer for expert-parallel model groups and
// the plain services beside them.
package main

import (
	"os"

	"github.com/anvilpoint/anvilpoint/internal/command"
)

func main() { os.Exit(command.Main(os.Args[1:])) }
