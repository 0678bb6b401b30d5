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

// records returns the runs that all engines and services have recorded.
func (c *cluster) records() []engineemulator.ServerEvent {
	c.t.Helper()
	// filepath.Glob would hide a read error and return no records.
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

// callOperator calls the operator API of an entry instance and decodes the
// response into result.
func (c *cluster) callOperator(entry, method, path string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, "http://"+c.operatorAddresses[entry].String()+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		var errorBody operator.ErrorResponse
		json.NewDecoder(response.Body).Decode(&errorBody)
		return fmt.Errorf("status %d: %s: %s", response.StatusCode, errorBody.Kind, errorBody.Error)
	}
	return json.NewDecoder(response.Body).Decode(result)
}

// tryApply applies a configuration through an entry instance and returns its
// version.
func (c *cluster) tryApply(entry, text, operationID string) (uint64, error) {
	call := operator.ApplyRequest{
		Sources:     []decoder.Source{{Name: "test.ini", Data: []byte(text)}},
		Author:      "test",
		OperationID: operationID,
	}
	var head struct{ Version uint64 }
	err := c.callOperator(entry, http.MethodPost, "/operator/config", call, &head)
	return head.Version, err
}

func (c *cluster) apply(entry, text string) uint64 {
	c.t.Helper()
	version, err := c.tryApply(entry, text, fmt.Sprintf("apply-%d", time.Now().UnixNano()))
	assert.NilError(c.t, err)
	return version
}

// awaitVersion waits until every entry instance runs the version or a later one.
func (c *cluster) awaitVersion(version uint64) {
	c.t.Helper()
	c.await("configuration in force everywhere", func() bool {
		for entry := range c.operatorAddresses {
			var status operator.ConfigStatus
			if c.callOperator(entry, http.MethodGet, "/operator/config", nil, &status) != nil {
				return false
			}
			if !status.InForce || status.Accepted.Version < version || len(status.Entries) < len(c.operatorAddresses) {
				return false
			}
		}
		return true
	})
}

func (c *cluster) groups(entry string) []operator.GroupStatus {
	var groups []operator.GroupStatus
	c.callOperator(entry, http.MethodGet, "/operator/groups", nil, &groups)
	return groups
}

// awaitOpen waits until an entry instance reports at least count open groups, and
// returns them.
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

// client returns a new client of the organisation alpha that knows all entry
// instances.
func (c *cluster) client() *caller.Client {
	var seeds []netip.AddrPort
	for _, a := range c.callerAddresses {
		seeds = append(seeds, a)
	}
	return caller.New(seeds, caller.WithKey(organisationKey), caller.WithFirstByteTimeout(firstByteTimeout))
}

// post sends a request to one entry instance without a retry.
func (c *cluster) post(entry, path, body string, headers map[string]string) (int, http.Header, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.callerAddresses[entry].String()+path, strings.NewReader(body))
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

// callerSeeds returns the seed list that names one entry instance only.
func (c *cluster) callerSeeds(entry string) []netip.AddrPort {
	return []netip.AddrPort{c.callerAddresses[entry]}
}
