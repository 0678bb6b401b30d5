package receiver

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/google/uuid"

	"github.com/waxwingmount/waxwingmount/internal/dispatcher"
	"github.com/waxwingmount/waxwingmount/internal/server"
	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// Request headers from callers.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerIdempotent     = "Waxwing-Idempotent"
	headerTimeout        = "Waxwing-Timeout"
	headerClass          = "Waxwing-Class"
	headerRequestID      = "Waxwing-Request-Id"
)

const (
	maxKeyBytes = 256
	minTimeout  = time.Millisecond
)

// completion is a decoded completion request.
type completion struct {
	dispatcher.Request
	// format is the format of the response; stream says that the caller
	// requested a stream of events.
	format completionFormat
	stream bool
}

// completionFields holds the fields of a completion request that the entry
// instance reads.
type completionFields struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

// prompt returns the text by which the engines' prefix caches are keyed.
func (b completionFields) prompt() []byte {
	if len(b.Messages) > 0 {
		return b.Messages
	}
	return b.Prompt
}

// decodeEmpty decodes a request without parameters.
func (r *Receiver) decodeEmpty(_ context.Context, _ *http.Request) (any, error) { return nil, nil }

// decodeCompletion returns a decoder for completion requests in one format. A
// stream is always requested from the backend server, even if the caller did
// not request one.
func (r *Receiver) decodeCompletion(format completionFormat) kithttp.DecodeRequestFunc {
	return func(_ context.Context, request *http.Request) (any, error) {
		decoded, config, err := r.decodeCommon(request)
		if err != nil {
			return nil, err
		}
		var body completionFields
		if err := json.Unmarshal(decoded.Body, &body); err != nil {
			return nil, problemf(http.StatusBadRequest, "malformed_body", "the body is not a JSON completion request")
		}
		if _, known := config.Models[body.Model]; !known {
			return nil, problemf(http.StatusNotFound, "model_not_found", "there is no model %q", body.Model)
		}
		if !body.Stream {
			decoded.Body, err = withStream(decoded.Body)
			if err != nil {
				return nil, problemf(http.StatusBadRequest, "malformed_body", "the body is not a JSON object")
			}
		}
		decoded.Model = body.Model
		decoded.Prompt = body.prompt()
		decoded.Buffered = !body.Stream
		decoded.Idempotent = decoded.IdempotencyKey == "" && request.Header.Get(headerIdempotent) != "false"
		return &completion{Request: decoded, format: format, stream: body.Stream}, nil
	}
}

// withStream returns the body with its field stream set to true.
func withStream(body []byte) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	return json.Marshal(fields)
}

// decodeCall decodes a request to a plain service.
func (r *Receiver) decodeCall(_ context.Context, request *http.Request) (any, error) {
	decoded, config, err := r.decodeCommon(request)
	if err != nil {
		return nil, err
	}
	for _, route := range config.Routes {
		if strings.HasPrefix(request.URL.Path, route.PathPrefix) {
			decoded.Service = route.Service
			decoded.Idempotent = isIdempotent(request, decoded, route)
			return &decoded, nil
		}
	}
	return nil, problemf(http.StatusNotFound, "route_not_found", "there is no route for %s", request.URL.Path)
}

// isIdempotent reports whether a request to a plain service may be run more than
// once. A request with an idempotency key runs at most once.
func isIdempotent(request *http.Request, decoded dispatcher.Request, route configurer.Route) bool {
	if decoded.IdempotencyKey != "" || request.Header.Get(headerIdempotent) == "false" {
		return false
	}
	return slices.Contains(route.IdempotentMethods, request.Method)
}

// decodeCommon authenticates a request and decodes the fields that all kinds of
// request have. It also returns the configuration in force.
func (r *Receiver) decodeCommon(request *http.Request) (dispatcher.Request, *configurer.Config, error) {
	var decoded dispatcher.Request
	config := r.Configs.Config()
	if config == nil {
		return decoded, nil, problemf(http.StatusServiceUnavailable, "not_ready", "this entry instance has no configuration yet")
	}
	organisation, err := authenticate(config, request)
	if err != nil {
		return decoded, nil, err
	}
	class, err := classOf(config, organisation, request)
	if err != nil {
		return decoded, nil, err
	}
	deadline, err := deadlineOf(class, request)
	if err != nil {
		return decoded, nil, err
	}
	body, err := readBody(request, int64(config.Admission.MaxBodyBytes))
	if err != nil {
		return decoded, nil, err
	}
	key := request.Header.Get(headerIdempotencyKey)
	if len(key) > maxKeyBytes {
		return decoded, nil, problemf(http.StatusBadRequest, "key_too_long", "the idempotency key is longer than %d bytes", maxKeyBytes)
	}
	return dispatcher.Request{
		ID:             uuid.NewString(),
		Organisation:   organisation,
		Class:          class,
		Method:         request.Method,
		Path:           request.URL.RequestURI(),
		ContentType:    request.Header.Get("Content-Type"),
		Body:           body,
		IdempotencyKey: key,
		Deadline:       deadline,
	}, config, nil
}

// authenticate returns the organisation to which the bearer key belongs.
func authenticate(config *configurer.Config, request *http.Request) (configurer.Organisation, error) {
	key, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return configurer.Organisation{}, problemf(http.StatusUnauthorized, "missing_key", "the request has no bearer key")
	}
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	organisation, known := config.OrganisationByKey(hash)
	if !known {
		return configurer.Organisation{}, problemf(http.StatusUnauthorized, "unknown_key", "the bearer key belongs to no organisation")
	}
	return organisation, nil
}

// classOf returns the class that the request names, or else the default of its
// organisation. A class with a higher priority than the default is refused.
func classOf(config *configurer.Config, o configurer.Organisation, request *http.Request) (configurer.Class, error) {
	name := request.Header.Get(headerClass)
	if name == "" {
		return config.Classes[o.Class], nil
	}
	class, known := config.Classes[name]
	if !known {
		return class, problemf(http.StatusBadRequest, "unknown_class", "there is no class %q", name)
	}
	if class.Priority < config.Classes[o.Class].Priority {
		return class, problemf(http.StatusForbidden, "class_not_allowed", "class %q goes before the organisation's own", name)
	}
	return class, nil
}

// deadlineOf returns the deadline of a request. The caller's timeout applies up
// to that of its class, which is also the default.
func deadlineOf(class configurer.Class, request *http.Request) (time.Time, error) {
	now := time.Now()
	text := request.Header.Get(headerTimeout)
	if text == "" {
		return now.Add(class.Deadline), nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout < minTimeout {
		return now, problemf(http.StatusBadRequest, "bad_timeout", "%s is not a duration such as 30s", headerTimeout)
	}
	return now.Add(min(timeout, class.Deadline)), nil
}

func readBody(request *http.Request, limit int64) ([]byte, error) {
	body, err := server.ReadBody(request, limit)
	kind, known := faulter.KindOf[server.Kind](err)
	switch {
	case err == nil:
		return body, nil
	case known && kind == server.KindTooLarge:
		return nil, problemf(http.StatusRequestEntityTooLarge, "body_too_large", "the body is longer than %d bytes", limit)
	case known && kind == server.KindTooSlow:
		return nil, problemf(http.StatusRequestTimeout, "body_too_slow", "the body did not arrive in time")
	case known && kind == server.KindNoMemory:
		return nil, problemf(http.StatusServiceUnavailable, "no_memory", "the memory for requests is in use")
	}
	return nil, problemf(http.StatusBadRequest, "body_unreadable", "the body did not arrive whole")
}
