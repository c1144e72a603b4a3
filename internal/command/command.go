// Package command implements the command line. Each command is in its own file and
// registers itself.
package command

import (
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Exit codes of the program.
const (
	ExitSuccess = 0
	ExitFailed  = 1
	ExitUsage   = 2
)

// usageError marks bad usage or bad input. The program exits with ExitUsage.
type usageError struct{ err error }

// Error implements error.
func (e *usageError) Error() string { return e.err.Error() }

// badInputf returns a usage error.
func badInputf(format string, args ...any) error {
	return &usageError{err: errors.Errorf(format, args...)}
}

// environment holds the standard output and standard error of a command.
type environment struct {
	out io.Writer
	err io.Writer
}

// spec describes a command. The value that make returns implements
// flags.Commander and holds the command's flags.
type spec struct {
	name  string
	short string
	long  string
	make  func(env *environment) flags.Commander
}

// registered is filled by the init functions of this package and not changed
// afterwards.
var registered []spec

func register(s spec) { registered = append(registered, s) }

// Main runs the program and returns its exit code.
func Main(args []string) int {
	env := &environment{out: os.Stdout, err: os.Stderr}
	return run(args, env)
}

func run(args []string, env *environment) int {
	parser := flags.NewNamedParser("anvilpoint", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "load balancer for expert-parallel model groups and plain services"
	for _, s := range registered {
		if _, err := parser.AddCommand(s.name, s.short, s.long, s.make(env)); err != nil {
			fmt.Fprintln(env.err, "anvilpoint:", err)
			return ExitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err, env)
}

func exitCode(err error, env *environment) int {
	if err == nil {
		return ExitSuccess
	}
	var parseError *flags.Error
	if errors.As(err, &parseError) {
		if parseError.Type == flags.ErrHelp {
			fmt.Fprintln(env.out, parseError.Message)
			return ExitSuccess
		}
		fmt.Fprintln(env.err, "anvilpoint:", parseError.Message)
		return ExitUsage
	}
	fmt.Fprintln(env.err, "anvilpoint:", err)
	var usage *usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	return ExitFailed
}
