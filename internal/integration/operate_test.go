package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingmount/waxwingmount/internal/engineemulator"
	"github.com/waxwingmount/waxwingmount/internal/operator"
	"github.com/waxwingmount/waxwingmount/pkg/caller"
	"github.com/waxwingmount/waxwingmount/pkg/decoder"
)

// records returns what all engines and services wrote of their runs.
func (c *cluster) records() []engineemulator.ServerEvent {
	c.t.Helper()
	// Not by a pattern: a look-up that fails must not pass for no records.
	entries, err := os.ReadDir(c.dir)
	assert.NilError(c.t, err)
	var runs []engineemulator.ServerEvent
	for _, entry := range entries {
		if filepath.Ext(entry.Name()) != ".record" {
			continue
		}
		file, err := os.Open(filepath.Join(c.dir, entry.Name()))
		assert.NilError(c.t, err)
		read, err := engineemulator.ReadEvents(file)
		assert.NilError(c.t, err)
		file.Close()
		runs = append(runs, read...)
	}
	return runs
}

// operate calls an entry instance's operator interface.
func (c *cluster) operate(entry, method, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, "http://"+c.operators[entry].String()+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		var refusal operator.ErrorBody
		json.NewDecoder(response.Body).Decode(&refusal)
		return fmt.Errorf("status %d: %s: %s", response.StatusCode, refusal.Kind, refusal.Error)
	}
	return json.NewDecoder(response.Body).Decode(answer)
}

// tryApply asks an entry instance to accept a configuration.
func (c *cluster) tryApply(entry, text, operationID string) (uint64, error) {
	call := operator.ApplyCall{
		Sources:     []decoder.Source{{Name: "test.ini", Data: []byte(text)}},
		Author:      "test",
		OperationID: operationID,
	}
	var head struct{ Version uint64 }
	err := c.operate(entry, http.MethodPost, "/operator/config", call, &head)
	return head.Version, err
}

func (c *cluster) apply(entry, text string) uint64 {
	c.t.Helper()
	version, err := c.tryApply(entry, text, fmt.Sprintf("apply-%d", time.Now().UnixNano()))
	assert.NilError(c.t, err)
	return version
}

// awaitVersion waits until every entry instance runs the version.
func (c *cluster) awaitVersion(version uint64) {
	c.t.Helper()
	c.await("configuration in force everywhere", func() bool {
		for entry := range c.operators {
			var status operator.ConfigStatus
			if c.operate(entry, http.MethodGet, "/operator/config", nil, &status) != nil {
				return false
			}
			if !status.InForce || status.Accepted.Version < version || len(status.Entries) < len(c.operators) {
				return false
			}
		}
		return true
	})
}

func (c *cluster) groups(entry string) []operator.GroupStatus {
	var groups []operator.GroupStatus
	c.operate(entry, http.MethodGet, "/operator/groups", nil, &groups)
	return groups
}

// awaitOpen waits until an entry instance sees so many groups open.
func (c *cluster) awaitOpen(entry string, count int) []operator.GroupStatus {
	c.t.Helper()
	var groups []operator.GroupStatus
	c.await(fmt.Sprintf("%d open groups at %s", count, entry), func() bool {
		groups = nil
		for _, g := range c.groups(entry) {
			if g.Verdict == "open" {
				groups = append(groups, g)
			}
		}
		return len(groups) >= count
	})
	return groups
}

func (c *cluster) await(what string, condition func() bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(startTimeout), poll.WithDelay(20*time.Millisecond))
}

// client returns a caller of organisation alpha.
func (c *cluster) client() *caller.Client {
	var seeds []netip.AddrPort
	for _, a := range c.callers {
		seeds = append(seeds, a)
	}
	return caller.New(seeds, caller.WithKey(organisationKey), caller.WithPatience(patience))
}

// post sends one request to one entry instance, without a second try.
func (c *cluster) post(entry, path, body string, headers map[string]string) (int, http.Header, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.callers[entry].String()+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, "", err
	}
	request.Header.Set("Authorization", "Bearer "+organisationKey)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, "", err
	}
	defer response.Body.Close()
	var b bytes.Buffer
	_, err = b.ReadFrom(response.Body)
	return response.StatusCode, response.Header, b.String(), err
}

// only returns the address of one entry instance.
func (c *cluster) only(entry string) []netip.AddrPort { return []netip.AddrPort{c.callers[entry]} }
