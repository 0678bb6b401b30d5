package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"github.com/waxwingmount/waxwingmount/internal/demonstrator"
	"github.com/waxwingmount/waxwingmount/internal/operator"
	"github.com/waxwingmount/waxwingmount/pkg/caller"
	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/decoder"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
)

func init() {
	register(command{name: "demo", help: "Run a complete system on loopback in this process, with an emulated platform and emulated engines.", setup: demo})
}

const demoTimeout = 20 * time.Second

func demo(sub *flaggy.Subcommand) func(*session) error {
	settings := demonstrator.Settings{Entries: 3, Groups: 2, TokenInterval: 20 * time.Millisecond}
	stay := false
	sub.Int(&settings.Entries, "", "entries", "The number of entry instances.")
	sub.Int(&settings.Groups, "", "groups", "The number of replica groups.")
	sub.Duration(&settings.TokenInterval, "", "token-interval", "The time between two tokens of the emulated engines.")
	sub.String(&settings.TraceFile, "", "trace-file", "A file that receives the trace spans of the entry instances.")
	sub.Bool(&stay, "", "stay", "Keep running until interrupted.")
	return func(s *session) error {
		log.SetHandler(discard.Default)
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		system, err := demonstrator.Start(ctx, settings)
		if err != nil {
			return err
		}
		if err := s.runDemo(ctx, system, settings.Groups); err != nil {
			return err
		}
		if stay {
			fmt.Fprintf(s.out, "\ncallers: %s (key %s); operators: %s; interrupt to stop\n", system.CallerAddresses, demonstrator.Key, system.OperatorAddresses)
			<-ctx.Done()
		}
		stop()
		if settings.TraceFile != "" {
			// The entry instances write their last spans before they stop.
			<-system.Stopped
		}
		return nil
	}
}

// runDemo applies the configuration, waits until the groups are open, and prints a
// streamed completion and the status.
func (s *session) runDemo(ctx context.Context, system *demonstrator.System, groups int) error {
	s.client.baseURLs = nil
	for _, address := range system.OperatorAddresses {
		s.client.baseURLs = append(s.client.baseURLs, "http://"+address.String())
	}
	fmt.Fprintln(s.out, "a whole system in one process; the platform, the engines and the service are emulated")
	if err := s.waitReachable(); err != nil {
		return err
	}
	call := operator.ApplyRequest{
		Sources:     []decoder.Source{{Name: "demo.ini", Data: system.Config}},
		Author:      "demo",
		OperationID: uuid.NewString(),
	}
	var head configurer.Head
	if err := s.client.call(http.MethodPost, "/operator/config", call, &head); err != nil {
		return err
	}
	if err := s.waitInForce(head.Version, demoTimeout); err != nil {
		return err
	}
	if err := s.waitGroupsOpen(groups); err != nil {
		return err
	}
	if err := streamCompletion(ctx, s.out, system); err != nil {
		return err
	}
	return status(nil)(s)
}

// waitReachable waits until an entry instance responds to operator calls.
func (s *session) waitReachable() error {
	var err error
	for started := time.Now(); time.Since(started) < demoTimeout; time.Sleep(pollInterval) {
		var members []gossiper.Member
		if err = s.client.call(http.MethodGet, "/operator/entries", nil, &members); err == nil {
			return nil
		}
	}
	return err
}

// waitGroupsOpen waits until the gates of at least count groups are open.
func (s *session) waitGroupsOpen(count int) error {
	for started := time.Now(); time.Since(started) < demoTimeout; time.Sleep(pollInterval) {
		var groups []operator.GroupStatus
		if err := s.client.call(http.MethodGet, "/operator/groups", nil, &groups); err != nil {
			return err
		}
		open := 0
		for _, g := range groups {
			if g.Verdict == "open" {
				open++
			}
		}
		if open >= count {
			return nil
		}
	}
	return faulter.Newf("demo", KindFailed, "the groups are not open after %s", demoTimeout)
}

func streamCompletion(ctx context.Context, out io.Writer, system *demonstrator.System) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	client := caller.New(system.CallerAddresses, caller.WithKey(demonstrator.Key))
	fmt.Fprintln(out, "\na streamed completion:")
	result, err := client.Do(ctx, caller.Request{
		Path:    "/v1/chat/completions",
		Body:    []byte(`{"model":"assist","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`),
		OnEvent: func(event []byte) { fmt.Fprintf(out, "  %s\n", event) },
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "outcome %s through %s\n\n", result.Outcome, result.Entry)
	return nil
}
