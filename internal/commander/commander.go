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

// verb is one command, such as "config apply".
type verb struct {
	// noun is empty for a verb of its own, such as "status".
	noun string
	name string
	help string
	// flags declares the verb's flags and returns what it does.
	flags func(*flaggy.Subcommand) func(*session) error
}

// nouns describes what verbs are about.
var nouns = map[string]string{
	"config": "The accepted configuration.",
	"entry":  "The entry instances.",
	"group":  "The replica groups.",
}

// verbs holds all commands; each file adds its own.
var verbs []verb

func register(v verb) { verbs = append(verbs, v) }

// session is one run of the command line.
type session struct {
	out    io.Writer
	client *client
	json   bool
}

// print shows a value as JSON, or as a table that rows returns.
func (s *session) print(value any, rows func() [][]string) error {
	if s.json {
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
	c := newConnection()
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

func execute(c *connection, action func(*session) error, out, errOut io.Writer) int {
	client, err := c.open()
	if err == nil {
		err = action(&session{out: out, client: client, json: c.json})
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
func newParser(c *connection) (*flaggy.Parser, map[*flaggy.Subcommand]func(*session) error) {
	parser := flaggy.NewParser("waxwing")
	parser.Description = "Operates a waxwingmount system."
	parser.ShowHelpOnUnexpected = false
	parser.ShowHelpWithHFlag = true
	c.flags(parser)
	actions := make(map[*flaggy.Subcommand]func(*session) error)
	subcommands := make(map[string]*flaggy.Subcommand)
	slices.SortFunc(verbs, func(a, b verb) int { return strings.Compare(a.noun+a.name, b.noun+b.name) })
	for _, v := range verbs {
		sub := flaggy.NewSubcommand(v.name)
		sub.Description = v.help
		actions[sub] = v.flags(sub)
		if v.noun == "" {
			parser.AttachSubcommand(sub, 1)
			continue
		}
		noun, found := subcommands[v.noun]
		if !found {
			noun = flaggy.NewSubcommand(v.noun)
			noun.Description = nouns[v.noun]
			subcommands[v.noun] = noun
			parser.AttachSubcommand(noun, 1)
		}
		noun.AttachSubcommand(sub, 1)
	}
	return parser, actions
}

// usagef returns an error of KindUsage.
func usagef(op, format string, args ...any) error {
	return faulter.New(op, KindUsage, errors.Newf(format, args...))
}
