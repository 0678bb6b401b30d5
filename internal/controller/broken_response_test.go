package controller

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/misresponder"
	"github.com/waxwingmount/waxwingmount/pkg/reconciler"
)

// sendTo sends an order to a stand-in. The name of its group has that length.
func sendTo(t *testing.T, s *misresponder.Server, length int) error {
	t.Helper()
	return newSender().send(t.Context(), s.Start(t).String(), reconciler.Order{Instance: "a", Group: strings.Repeat("x", length)})
}

// TestBrokenResponse guards against a broken response to an order counting as accepted.
func TestBrokenResponse(t *testing.T) {
	for name, head := range misresponder.MalformedHeads {
		assert.Check(t, sendTo(t, &misresponder.Server{Respond: misresponder.Always(head + "\r\n{}")}, 1) != nil, name)
	}
	for name, response := range map[string]string{
		"without a length":        "HTTP/1.1 200 OK\r\n\r\n{}",
		"shorter than its length": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{}",
		"chunks without an end":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
	} {
		for _, early := range []bool{false, true} {
			length := 1
			if early {
				length = misresponder.LongBodyBytes
			}
			s := &misresponder.Server{Respond: misresponder.Always(response), Early: early, End: misresponder.Reset}
			assert.Check(t, sendTo(t, s, length) != nil, "%s, early %t", name, early)
		}
	}
}

// TestUndelimitedResponse guards against a complete response without a length counting as broken.
func TestUndelimitedResponse(t *testing.T) {
	for _, early := range []bool{false, true} {
		s := &misresponder.Server{Respond: misresponder.Always("HTTP/1.1 200 OK\r\n\r\n{}"), Early: early, End: misresponder.HalfClosed}
		assert.NilError(t, sendTo(t, s, misresponder.LongBodyBytes))
	}
}
