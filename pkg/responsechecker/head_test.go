package responsechecker

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// TestHead guards against a head that is none being believed, and against a sound one being
// refused.
func TestHead(t *testing.T) {
	for head, sound := range map[string]bool{
		"200 OK\r\nx_!#$%&'*+-.^`|~9: 1": true,
		"600 Odd":                        true,
		"999 Odd":                        true,
		"200 OK\r\nX: a\tb \x80":         true,
		"000 Odd":                        false,
		"099 Odd":                        false,
		"+20 Odd":                        false,
		"2000 Odd":                       false,
		"101 Odd":                        false,
		"200 OK\r\nX Odd: 1":             false,
		"200 OK\r\nX-Odd : 1":            false,
		"200 OK\r\nX\tOdd: 1":            false,
		"200 OK\r\nX\x01Odd: 1":          false,
		"200 OK\r\nX\x00Odd: 1":          false,
		"200 OK\r\nX\x7fOdd: 1":          false,
		"200 OK\r\nX\x80Odd: 1":          false,
		"200 OK\r\nX(Odd): 1":            false,
		"200 OK\r\n: 1":                  false,
		"200 OK\r\nX-Odd":                false,
		"200 OK\r\nX-Odd: a\x01b":        false,
		"200 OK\r\n X-Odd: 1":            false,
	} {
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 "+head+"\r\n\r\n")), nil)
		if err == nil {
			err = CheckHead(response)
			kind, known := faulter.KindOf[Kind](err)
			assert.Check(t, err == nil || known && kind == KindMalformed, "%q: %v", head, err)
		}
		assert.Check(t, (err == nil) == sound, "%q: %v", head, err)
	}
}
