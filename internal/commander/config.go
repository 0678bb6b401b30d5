package commander

import (
	"fmt"
	"net/http"
	"os"
	"os/user"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"github.com/waxwingmount/waxwingmount/internal/operator"
	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/decoder"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

func init() {
	register(command{parent: "config", name: "check", help: "Check a base configuration file with the overlay of a site.", setup: configCheck})
	register(command{parent: "config", name: "apply", help: "Apply a configuration and wait until it is in force.", setup: configApply})
	register(command{parent: "config", name: "status", help: "Show which version each entry instance runs.", setup: configStatus})
	register(command{parent: "config", name: "history", help: "Show the accepted versions, newest first.", setup: configHistory})
}

const (
	defaultWait  = 10 * time.Second
	pollInterval = 100 * time.Millisecond
)

// sourceFiles holds the paths of the files that make up a configuration.
type sourceFiles struct {
	base    string
	overlay string
}

func (f *sourceFiles) declare(sub *flaggy.Subcommand) {
	sub.AddPositionalValue(&f.base, "base", 1, true, "The base configuration file.")
	sub.AddPositionalValue(&f.overlay, "overlay", 2, false, "The overlay file of the site.")
}

// schemaErrors returns the list of schema errors in err, one per line, without the
// errors that wrap it. It returns err if there is no such list.
func schemaErrors(err error) error {
	var list decoder.SchemaErrors
	if errors.As(err, &list) {
		return list
	}
	return err
}

// readAndCheck reads the files and checks them as a configuration.
func (f *sourceFiles) readAndCheck() ([]decoder.Source, error) {
	var sources []decoder.Source
	for _, path := range []string{f.base, f.overlay} {
		if path == "" {
			continue
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, faulter.New("read configuration", KindUsage, err)
		}
		sources = append(sources, decoder.Source{Name: path, Data: data})
	}
	if _, err := configurer.Parse(sources...); err != nil {
		return nil, faulter.Newf("check configuration", KindUsage, "\n%s", schemaErrors(err))
	}
	return sources, nil
}

func configCheck(sub *flaggy.Subcommand) func(*session) error {
	f := &sourceFiles{}
	f.declare(sub)
	return func(s *session) error {
		if _, err := f.readAndCheck(); err != nil {
			return err
		}
		fmt.Fprintln(s.out, "the configuration is accepted")
		return nil
	}
}

func configApply(sub *flaggy.Subcommand) func(*session) error {
	f := &sourceFiles{}
	f.declare(sub)
	author, base := "", -1
	wait := defaultWait
	sub.String(&author, "", "author", "The author of the change; by default the current user.")
	sub.Int(&base, "", "base-version", "Apply only if this is the newest accepted version.")
	sub.Duration(&wait, "", "wait", "How long to wait until the change is in force everywhere.")
	return func(s *session) error {
		sources, err := f.readAndCheck()
		if err != nil {
			return err
		}
		call := operator.ApplyRequest{Sources: sources, Author: authorOrUser(author), OperationID: uuid.NewString()}
		if base >= 0 {
			version := uint64(base)
			call.BaseVersion = &version
		}
		var head configurer.Head
		if err := s.client.call(http.MethodPost, "/operator/config", call, &head); err != nil {
			return err
		}
		fmt.Fprintf(s.out, "version %d accepted\n", head.Version)
		return s.waitInForce(head.Version, wait)
	}
}

func authorOrUser(author string) string {
	if author != "" {
		return author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// waitInForce waits until every live entry instance runs the version. It returns
// an error of KindNotInForce when the wait time has passed.
func (s *session) waitInForce(version uint64, wait time.Duration) error {
	started := time.Now()
	for {
		var status operator.ConfigStatus
		err := s.client.call(http.MethodGet, "/operator/config", nil, &status)
		if err == nil && status.InForce && status.Accepted.Version >= version {
			fmt.Fprintf(s.out, "version %d in force at %d entry instances after %s\n",
				version, len(status.Entries), time.Since(started).Round(time.Millisecond))
			return nil
		}
		if time.Since(started) > wait {
			return faulter.Newf("apply", KindNotInForce, "version %d is accepted but not in force everywhere after %s", version, wait)
		}
		time.Sleep(pollInterval)
	}
}

func configStatus(_ *flaggy.Subcommand) func(*session) error {
	return func(s *session) error {
		var status operator.ConfigStatus
		if err := s.client.call(http.MethodGet, "/operator/config", nil, &status); err != nil {
			return err
		}
		return s.print(status, func() [][]string {
			rows := [][]string{{"ENTRY", "VERSION", "ACCEPTED"}}
			for _, e := range status.Entries {
				rows = append(rows, []string{e.Entry, strconv.FormatUint(e.Version, 10), strconv.FormatUint(status.Accepted.Version, 10)})
			}
			return rows
		})
	}
}

func configHistory(_ *flaggy.Subcommand) func(*session) error {
	return func(s *session) error {
		var history operator.History
		if err := s.client.call(http.MethodGet, "/operator/config/history", nil, &history); err != nil {
			return err
		}
		return s.print(history, func() [][]string {
			rows := [][]string{{"VERSION", "AUTHOR", "OBJECT"}}
			for _, h := range history.Versions {
				rows = append(rows, []string{strconv.FormatUint(h.Version, 10), h.Author, h.Object})
			}
			return rows
		})
	}
}
