package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/waxwingmount/waxwingmount/internal/controller"
	"github.com/waxwingmount/waxwingmount/internal/syncer"
	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/decoder"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// ApplyRequest is a request to accept a configuration.
type ApplyRequest struct {
	Sources []decoder.Source `json:"sources"`
	Author  string           `json:"author"`
	// OperationID makes the request idempotent.
	OperationID string `json:"operation_id"`
	// BaseVersion is the version that the change is based on; nil means the
	// newest.
	BaseVersion *uint64 `json:"base_version,omitempty"`
}

// ConfigStatus is the version of the configuration that each entry instance runs.
type ConfigStatus struct {
	Accepted configurer.Head `json:"accepted"`
	Entries  []EntryVersion  `json:"entries"`
	// InForce is whether every live entry instance runs the accepted version.
	InForce bool `json:"in_force"`
}

// EntryVersion is the version of the configuration that one entry instance runs.
type EntryVersion struct {
	Entry   string `json:"entry"`
	Version uint64 `json:"version"`
}

// History lists accepted versions, newest first.
type History struct {
	Versions []configurer.Head `json:"versions"`
}

// maxHistoryLength is the maximum number of versions in the response of a
// history request.
const maxHistoryLength = 20

func (o *Operator) applyConfig(ctx context.Context, request ApplyRequest) (configurer.Head, error) {
	const op = "apply configuration"
	var none configurer.Head
	if request.OperationID == "" || request.Author == "" {
		return none, faulter.Newf(op, KindInvalid, "operation_id and author are required")
	}
	if _, err := configurer.Parse(request.Sources...); err != nil {
		return none, faulter.New(op, KindInvalid, err)
	}
	row, err := o.Platform.Read(ctx, configurer.HeadKey)
	if err != nil {
		return none, err
	}
	head, err := configurer.DecodeHead(row)
	if err != nil {
		return none, err
	}
	if earlier, found, err := o.findOperation(ctx, head, request.OperationID); found || err != nil {
		return earlier, err
	}
	if request.BaseVersion != nil && *request.BaseVersion != head.Version {
		return none, conflictError(op, head)
	}
	next, err := o.storeContent(ctx, request, head)
	if err != nil {
		return none, err
	}
	tx, err := configurer.NewHeadTransaction(row, next)
	if err != nil {
		return none, err
	}
	outcome, err := controller.CommitWithRetry(ctx, o.Platform, tx)
	if err != nil {
		return none, err
	}
	if outcome.Committed {
		return next, nil
	}
	return o.resolveConflict(ctx, op, request)
}

// storeContent puts the content of the next version into the object store, and
// returns the version's head.
func (o *Operator) storeContent(ctx context.Context, request ApplyRequest, parent configurer.Head) (configurer.Head, error) {
	content := configurer.Content{Sources: request.Sources, Parent: parent}
	data, err := json.Marshal(content)
	if err != nil {
		return configurer.Head{}, faulter.New("encode content", KindInvalid, err)
	}
	sum := sha256.Sum256(data)
	head := configurer.Head{
		Version:     parent.Version + 1,
		Object:      "config/" + hex.EncodeToString(sum[:]),
		Author:      request.Author,
		OperationID: request.OperationID,
	}
	return head, o.Platform.PutObject(ctx, head.Object, data)
}

// resolveConflict handles a change that was committed first. It returns the
// result of an earlier attempt of the same request if that was the change, and
// otherwise an error that names the change.
func (o *Operator) resolveConflict(ctx context.Context, op string, request ApplyRequest) (configurer.Head, error) {
	row, err := o.Platform.Read(ctx, configurer.HeadKey)
	if err != nil {
		return configurer.Head{}, err
	}
	head, err := configurer.DecodeHead(row)
	if err != nil {
		return configurer.Head{}, err
	}
	if earlier, found, err := o.findOperation(ctx, head, request.OperationID); found || err != nil {
		return earlier, err
	}
	return configurer.Head{}, conflictError(op, head)
}

// maxRepeatDepth is how many versions back a repeated request is recognised.
const maxRepeatDepth = 16

// findOperation returns the version that an earlier attempt of the same request
// created, if it is among the last maxRepeatDepth versions.
func (o *Operator) findOperation(ctx context.Context, head configurer.Head, operationID string) (configurer.Head, bool, error) {
	for depth := 0; depth < maxRepeatDepth && head.Version > 0; depth++ {
		if head.OperationID == operationID {
			return head, true, nil
		}
		content, err := syncer.FetchContent(ctx, o.Platform, head)
		if err != nil {
			return configurer.Head{}, false, err
		}
		head = content.Parent
	}
	return configurer.Head{}, false, nil
}

func conflictError(op string, head configurer.Head) error {
	return faulter.Newf(op, KindConflict, "version %d by %s was accepted first", head.Version, head.Author)
}

func (o *Operator) configStatus(ctx context.Context, _ Empty) (ConfigStatus, error) {
	status := ConfigStatus{InForce: true}
	status.Accepted, _ = o.Syncer.Head()
	if row, err := o.Platform.Read(ctx, configurer.HeadKey); err == nil {
		if status.Accepted, err = configurer.DecodeHead(row); err != nil {
			return status, err
		}
	}
	for _, m := range o.Discoverer.Live() {
		status.Entries = append(status.Entries, EntryVersion{Entry: m.ID, Version: m.ConfigVersion})
		status.InForce = status.InForce && m.ConfigVersion >= status.Accepted.Version
	}
	return status, nil
}

func (o *Operator) configHistory(ctx context.Context, _ Empty) (History, error) {
	var history History
	row, err := o.Platform.Read(ctx, configurer.HeadKey)
	if err != nil {
		return history, err
	}
	head, err := configurer.DecodeHead(row)
	for err == nil && head.Version > 0 && len(history.Versions) < maxHistoryLength {
		history.Versions = append(history.Versions, head)
		var content configurer.Content
		content, err = syncer.FetchContent(ctx, o.Platform, head)
		head = content.Parent
	}
	return history, err
}
