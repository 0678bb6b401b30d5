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

// ApplyCall asks to accept a configuration.
type ApplyCall struct {
	Sources []decoder.Source `json:"sources"`
	Author  string           `json:"author"`
	// OperationID makes a repeat harmless.
	OperationID string `json:"operation_id"`
	// BaseVersion is the version that the change was made from; nil is the
	// newest.
	BaseVersion *uint64 `json:"base_version,omitempty"`
}

// ConfigStatus says which version each entry instance runs.
type ConfigStatus struct {
	Accepted configurer.Head `json:"accepted"`
	Entries  []EntryVersion  `json:"entries"`
	// InForce says that every live entry instance runs the accepted version.
	InForce bool `json:"in_force"`
}

// EntryVersion is the version that one entry instance runs.
type EntryVersion struct {
	Entry   string `json:"entry"`
	Version uint64 `json:"version"`
}

// History lists accepted versions, the newest first.
type History struct {
	Versions []configurer.Head `json:"versions"`
}

// historyLength bounds the answer of a history call.
const historyLength = 20

func (o *Operator) applyConfig(ctx context.Context, call ApplyCall) (configurer.Head, error) {
	const op = "apply configuration"
	var none configurer.Head
	if call.OperationID == "" || call.Author == "" {
		return none, faulter.Newf(op, KindInvalid, "operation_id and author are required")
	}
	if _, err := configurer.Check(call.Sources...); err != nil {
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
	if earlier, found, err := o.find(ctx, head, call.OperationID); found || err != nil {
		return earlier, err
	}
	if call.BaseVersion != nil && *call.BaseVersion != head.Version {
		return none, conflict(op, head)
	}
	next, err := o.store(ctx, call, head)
	if err != nil {
		return none, err
	}
	tx, err := configurer.Accept(row, next)
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
	return o.raced(ctx, op, call)
}

// store puts the content of the next version into the object store.
func (o *Operator) store(ctx context.Context, call ApplyCall, parent configurer.Head) (configurer.Head, error) {
	content := configurer.Content{Sources: call.Sources, Parent: parent}
	data, err := json.Marshal(content)
	if err != nil {
		return configurer.Head{}, faulter.New("encode content", KindInvalid, err)
	}
	sum := sha256.Sum256(data)
	head := configurer.Head{
		Version:     parent.Version + 1,
		Object:      "config/" + hex.EncodeToString(sum[:]),
		Author:      call.Author,
		OperationID: call.OperationID,
	}
	return head, o.Platform.PutObject(ctx, head.Object, data)
}

// raced names the change that was accepted first.
func (o *Operator) raced(ctx context.Context, op string, call ApplyCall) (configurer.Head, error) {
	row, err := o.Platform.Read(ctx, configurer.HeadKey)
	if err != nil {
		return configurer.Head{}, err
	}
	head, err := configurer.DecodeHead(row)
	if err != nil {
		return configurer.Head{}, err
	}
	if earlier, found, err := o.find(ctx, head, call.OperationID); found || err != nil {
		return earlier, err
	}
	return configurer.Head{}, conflict(op, head)
}

// repeatDepth is how many versions back a repeated call is recognised.
const repeatDepth = 16

// find looks for the version that an earlier sending of the same call made.
func (o *Operator) find(ctx context.Context, head configurer.Head, operationID string) (configurer.Head, bool, error) {
	for depth := 0; depth < repeatDepth && head.Version > 0; depth++ {
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

func conflict(op string, head configurer.Head) error {
	return faulter.Newf(op, KindConflict, "version %d by %s was accepted first", head.Version, head.Author)
}

func (o *Operator) configStatus(ctx context.Context, _ Nothing) (ConfigStatus, error) {
	status := ConfigStatus{InForce: true}
	status.Accepted, _ = o.Follower.Head()
	if row, err := o.Platform.Read(ctx, configurer.HeadKey); err == nil {
		if status.Accepted, err = configurer.DecodeHead(row); err != nil {
			return status, err
		}
	}
	for _, m := range o.Introducer.Live() {
		status.Entries = append(status.Entries, EntryVersion{Entry: m.ID, Version: m.ConfigVersion})
		status.InForce = status.InForce && m.ConfigVersion >= status.Accepted.Version
	}
	return status, nil
}

func (o *Operator) configHistory(ctx context.Context, _ Nothing) (History, error) {
	var history History
	row, err := o.Platform.Read(ctx, configurer.HeadKey)
	if err != nil {
		return history, err
	}
	head, err := configurer.DecodeHead(row)
	for err == nil && head.Version > 0 && len(history.Versions) < historyLength {
		history.Versions = append(history.Versions, head)
		var content configurer.Content
		content, err = syncer.FetchContent(ctx, o.Platform, head)
		head = content.Parent
	}
	return history, err
}
