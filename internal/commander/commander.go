// Package commander is the operators' command line. Each command registers
// itself from its own file.
//
// # Usage
//
//	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
//
// Exit codes: 0 success; 1 failure; 2 wrong usage or invalid input; 3 conflict
// with another change; 4 the system or its platform is unavailable; 5 the change
// was accepted but was not in force everywhere in time.
package commander

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind classifies the errors of this package. Its value is the exit code.
type Kind int

// Error kinds.
const (
	// KindFailed is any error that no other kind describes.
	KindFailed Kind = iota + 1
	// KindUsage means that the command line or an input file is invalid.
	KindUsage
	// KindConflict means that another change was made first.
	KindConflict
	// KindUnavailable means that the system or its platform did not respond.
	KindUnavailable
	// KindNotInForce means that a change was accepted but is not yet in force at
	// every entry instance.
	KindNotInForce
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]

// command is a command of the command line, such as "config apply".
type command struct {
	// parent is the enclosing subcommand, empty for a top-level command such as
	// "status".
	parent string
	name   string
	help   string
	// setup declares the command's flags and returns the function that runs it.
	setup func(*flaggy.Subcommand) func(*session) error
}

// parentHelp holds the help texts of the subcommands that enclose others.
var parentHelp = map[string]string{
	"config": "Check, apply and show the configuration.",
	"entry":  "List and drain entry instances.",
	"group":  "List, create, drain and delete replica groups.",
}

// commands holds all registered commands.
var commands []command

func register(c command) { commands = append(commands, c) }

// session holds what a running command needs: its output and the client.
type session struct {
	out        io.Writer
	client     *client
	jsonOutput bool
}

// print writes a value as JSON or as the table that rows returns.
func (s *session) print(value any, rows func() [][]string) error {
	if s.jsonOutput {
		encoder := json.NewEncoder(s.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, row := range rows() {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return table.Flush()
}

// Run parses the arguments, runs the command and returns its exit code.
func Run(arguments []string, out, errOut io.Writer) int {
	c := newClientFlags()
	parser, actions := newParser(c)
	if err := parser.ParseArgs(arguments); err != nil {
		fmt.Fprintln(errOut, "waxwing:", err)
		return int(KindUsage)
	}
	for sub, action := range actions {
		if !sub.Used {
			continue
		}
		return execute(c, action, out, errOut)
	}
	parser.ShowHelp()
	fmt.Fprintln(errOut, "waxwing: missing or unknown command")
	return int(KindUsage)
}

func execute(c *clientFlags, action func(*session) error, out, errOut io.Writer) int {
	client, err := c.newClient()
	if err == nil {
		err = action(&session{out: out, client: client, jsonOutput: c.jsonOutput})
	}
	if err == nil {
		return 0
	}
	fmt.Fprintln(errOut, "waxwing:", err)
	kind, found := faulter.KindOf[Kind](err)
	if !found {
		kind = KindFailed
	}
	return int(kind)
}

// newParser returns a parser for all commands and the function of each subcommand.
func newParser(c *clientFlags) (*flaggy.Parser, map[*flaggy.Subcommand]func(*session) error) {
	parser := flaggy.NewParser("waxwing")
	parser.Description = "Operates a waxwingmount system."
	parser.ShowHelpOnUnexpected = false
	parser.ShowHelpWithHFlag = true
	c.declare(parser)
	actions := make(map[*flaggy.Subcommand]func(*session) error)
	subcommands := make(map[string]*flaggy.Subcommand)
	slices.SortFunc(commands, func(a, b command) int { return strings.Compare(a.parent+a.name, b.parent+b.name) })
	for _, cmd := range commands {
		sub := flaggy.NewSubcommand(cmd.name)
		sub.Description = cmd.help
		actions[sub] = cmd.setup(sub)
		if cmd.parent == "" {
			parser.AttachSubcommand(sub, 1)
			continue
		}
		parent, found := subcommands[cmd.parent]
		if !found {
			parent = flaggy.NewSubcommand(cmd.parent)
			parent.Description = parentHelp[cmd.parent]
			subcommands[cmd.parent] = parent
			parser.AttachSubcommand(parent, 1)
		}
		parent.AttachSubcommand(sub, 1)
	}
	return parser, actions
}

// usagef returns an error of KindUsage.
func usagef(op, format string, args ...any) error {
	return faulter.New(op, KindUsage, errors.Newf(format, args...))
}
