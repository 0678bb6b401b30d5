// Package commander is the operators' command line. Each verb joins from its
// own file.
//
// # Usage
//
//	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
//
// Exit codes: 0 done; 1 failed; 2 wrong usage or bad input; 3 conflict with
// another change; 4 the system or its platform did not answer; 5 accepted but
// not in force everywhere in time.
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

// Kind sorts the failures of this package; each has its exit code.
type Kind int

// Kinds of failure.
const (
	// KindFailed is any failure without a kind of its own.
	KindFailed Kind = iota + 1
	// KindUsage says that the command line or a file is wrong.
	KindUsage
	// KindConflict says that another change came first.
	KindConflict
	// KindUnavailable says that the system or its platform did not answer.
	KindUnavailable
	// KindNotInForce says that a change was accepted but is not in force everywhere.
	KindNotInForce
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]

// command is one command, such as "config apply".
type command struct {
	// parent is empty for a verb of its own, such as "status".
	parent string
	name string
	help string
	// setup declares the verb's setup and returns what it does.
	setup func(*flaggy.Subcommand) func(*session) error
}

// parentHelp describes what verbs are about.
var parentHelp = map[string]string{
	"config": "The accepted configuration.",
	"entry":  "The entry instances.",
	"group":  "The replica groups.",
}

// commands holds all commands; each file adds its own.
var commands []command

func register(v command) { commands = append(commands, v) }

// session is one run of the command line.
type session struct {
	out    io.Writer
	client *client
	jsonOutput   bool
}

// print shows a value as JSON, or as a table that rows returns.
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

// Run runs one command and returns its exit code.
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
	fmt.Fprintln(errOut, "waxwing: no verb given, or none of that name")
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

// newParser builds the parser of all verbs.
func newParser(c *clientFlags) (*flaggy.Parser, map[*flaggy.Subcommand]func(*session) error) {
	parser := flaggy.NewParser("waxwing")
	parser.Description = "Operates a waxwingmount system."
	parser.ShowHelpOnUnexpected = false
	parser.ShowHelpWithHFlag = true
	c.declare(parser)
	actions := make(map[*flaggy.Subcommand]func(*session) error)
	subcommands := make(map[string]*flaggy.Subcommand)
	slices.SortFunc(commands, func(a, b command) int { return strings.Compare(a.parent+a.name, b.parent+b.name) })
	for _, v := range commands {
		sub := flaggy.NewSubcommand(v.name)
		sub.Description = v.help
		actions[sub] = v.setup(sub)
		if v.parent == "" {
			parser.AttachSubcommand(sub, 1)
			continue
		}
		parent, found := subcommands[v.parent]
		if !found {
			parent = flaggy.NewSubcommand(v.parent)
			parent.Description = parentHelp[v.parent]
			subcommands[v.parent] = parent
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
