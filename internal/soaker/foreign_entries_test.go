package soaker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/platform/emulator"
)

const (
	// foreignRun keeps the addresses apart from those of other tests.
	foreignRun = 160
	// foreignSettleTime is how long after the first foreign entries, or after the start of all
	// entry instances, each request must be served.
	foreignSettleTime = 6 * time.Second
	foreignRequests   = 40
	// foreignPause is the time between two of them, which leaves the servers mostly idle.
	foreignPause = 50 * time.Millisecond
)

// serverRow is a row of the table of backend servers.
type serverRow struct {
	Table   string         `json:"table"`
	Key     string         `json:"key"`
	Value   []byte         `json:"value"`
	decoded map[string]any `json:"-"`
}

// foreignClient is what the other writer calls the store with.
var foreignClient = &http.Client{Timeout: time.Second}

// foreignForm derives an entry of another writer from that of a sound server, which it may change.
type foreignForm func(entry map[string]any) map[string]any

// foreignForms holds the kinds of entries of another writer, by name.
var foreignForms = map[string]foreignForm{
	"service that is not configured": with("service", "mirror"),
	"field of another type":          with("version", 1),
	"copy":                           func(entry map[string]any) map[string]any { return entry },
	"copy at another address":        with("address", "127.0.0.1:9"),
}

// with returns a form with one field changed.
func with(field string, value any) foreignForm {
	return func(entry map[string]any) map[string]any {
		entry[field] = value
		return entry
	}
}

// readServers returns the rows of the sound servers.
func (f *fixture) readServers() ([]serverRow, error) {
	response, err := foreignClient.Get("http://" + f.address(blockStore, 0, portOther).String() + "/waxwingmount/rows-get?table=servers&part=")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var page struct {
		Rows []serverRow `json:"rows"`
	}
	if err := json.NewDecoder(response.Body).Decode(&page); err != nil {
		return nil, err
	}
	var sound []serverRow
	for _, row := range page.Rows {
		if strings.HasPrefix(row.Key, "w-") && json.Unmarshal(row.Value, &row.decoded) == nil {
			sound = append(sound, row)
		}
	}
	return sound, nil
}

// writeForeignEntries writes an entry of each form for each sound server.
func (f *fixture) writeForeignEntries(forms map[string]foreignForm) error {
	sound, err := f.readServers()
	if err != nil {
		return err
	}
	var rows []serverRow
	for name, form := range forms {
		for _, row := range sound {
			value, err := json.Marshal(form(maps.Clone(row.decoded)))
			if err != nil {
				return err
			}
			rows = append(rows, serverRow{Table: "servers", Key: name + " of " + row.Key, Value: value})
		}
	}
	body, err := json.Marshal(map[string]any{"expected": []any{}, "upserts": rows, "remove": []any{}})
	if err != nil {
		return err
	}
	response, err := foreignClient.Post("http://"+f.address(blockStore, 0, portOther).String()+"/emulator/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// runForeignWriter writes foreign entries at each heartbeat until ctx ends.
func (f *fixture) runForeignWriter(ctx context.Context, forms map[string]foreignForm) {
	for ctx.Err() == nil {
		if err := f.writeForeignEntries(forms); err != nil && ctx.Err() == nil {
			f.t.Logf("foreign entries not written: %v", err)
		}
		time.Sleep(heartbeat)
	}
}

// sendForeign sends requests of one kind to all entry instances and returns those that are not
// served.
func (f *fixture) sendForeign(name, path string) []string {
	callers := &traffic{fixture: f}
	random := rand.New(rand.NewPCG(1, 1))
	var group sync.WaitGroup
	var mu sync.Mutex
	var failures []string
	for i := range foreignRequests {
		r := newRequest(random, fmt.Sprintf("%s-%s-%d", name, path[1:len(path)-1], i), path, stableOrganisation+"-1")
		group.Go(func() {
			if sent := callers.send(emulator.NewCaller(), i%len(f.daemons), r); !sent.succeeded() {
				mu.Lock()
				defer mu.Unlock()
				failures = append(failures, fmt.Sprintf("%s: status %d, %v", r.ID, sent.response.Status, sent.response.Err))
			}
		})
		time.Sleep(foreignPause)
	}
	group.Wait()
	return failures
}

// maxForeignSteps is the largest number of times that another writer writes entries in a scenario.
const maxForeignSteps = 3

// foreignEntriesStream keeps the random numbers of generateForeignEntries apart from those of the
// other generators.
const foreignEntriesStream = 1 << 41

// generateForeignEntries generates steps in which another writer writes entries of one form. They
// come on top, like those of generateReturns.
func generateForeignEntries(f *fixture, seed uint64) []step {
	random := rand.New(rand.NewPCG(seed, seed^foreignEntriesStream))
	names := slices.Sorted(maps.Keys(foreignForms))
	steps := make([]step, random.IntN(maxForeignSteps+1))
	for i := range steps {
		name := names[random.IntN(len(names))]
		steps[i] = step{name: "foreign entries: " + name, run: func(duration time.Duration) {
			ctx, cancel := context.WithTimeout(context.Background(), duration)
			defer cancel()
			f.runForeignWriter(ctx, map[string]foreignForm{name: foreignForms[name]})
		}}
		steps[i].startAfter = time.Duration(random.Int64N(int64(faultPhase)))
		steps[i].duration = minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration)))
	}
	return steps
}

// TestForeignEntriesLeaveServersInUse guards against entries of another writer, which name no
// server, taking sound servers and groups out of use: while they appear, and for as long as they
// are there after all entry instances have been killed.
func TestForeignEntriesLeaveServersInUse(t *testing.T) {
	t.Parallel()
	daemon := buildDaemon(t)
	next := byte(os.Getpid() + foreignRun)
	for name, form := range foreignForms {
		run := next
		next++
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			logDir := *keepLogs
			if logDir != "" {
				logDir = filepath.Join(logDir, strings.ReplaceAll(name, " ", "_"))
				assert.NilError(t, os.MkdirAll(logDir, 0o755))
			}
			f := newFixture(t, run, daemon, logDir, usualEntries)
			defer f.stop()
			f.start()
			time.Sleep(warmUp)
			check := func(when string) {
				for _, path := range []string{pathStream, pathOnce} {
					failures := f.sendForeign(when, path)
					assert.Check(t, len(failures) == 0, "%s: %s", when, strings.Join(failures, "\n"))
				}
			}
			check("before")
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go f.runForeignWriter(ctx, map[string]foreignForm{name: form})
			time.Sleep(foreignSettleTime)
			check("beside")
			for _, p := range f.daemons {
				p.kill()
			}
			for _, p := range f.daemons {
				assert.NilError(t, p.start())
			}
			time.Sleep(foreignSettleTime)
			check("after")
		})
	}
}
