package detourer

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// metadata holds named fields. Encoded, it is a block in the format of HTTP headers,
// followed by a second block with a request's or response's header. Gob allocates what the
// length of a map or slice claims, and JSON changes bytes that are not UTF-8.
type metadata map[string][]string

func (m metadata) setText(name, value string) {
	if value != "" {
		m[name] = []string{value}
	}
}

func (m metadata) setInt(name string, value int) { m[name] = []string{strconv.Itoa(value)} }

func (m metadata) setBool(name string, value bool) {
	if value {
		m[name] = []string{strconv.FormatBool(value)}
	}
}

func (m metadata) setDuration(name string, value time.Duration) {
	if value != 0 {
		m[name] = []string{value.String()}
	}
}

// encode returns the fields and a header. Values that would arrive changed, such as one
// with a line break, are an error of [KindMalformed].
func (m metadata) encode(op string, header http.Header) ([]byte, error) {
	var out bytes.Buffer
	for _, block := range []map[string][]string{m, header} {
		for name, values := range block {
			for _, value := range values {
				if !isSendable(name, value) {
					return nil, faulter.Newf(op, KindMalformed, "field %q cannot be sent", name)
				}
				out.WriteString(name + ": " + value + "\r\n")
			}
		}
		out.WriteString("\r\n")
	}
	if out.Len() > maxHeaderBytes+maxMetadataBytes {
		return nil, faulter.Newf(op, KindTooLarge, "header of %d bytes", out.Len())
	}
	return out.Bytes(), nil
}

// isSendable reports whether a field arrives as it is.
func isSendable(name, value string) bool {
	return name != "" && !strings.ContainsAny(name, ": \t\r\n") &&
		!strings.ContainsAny(value, "\r\n") && value == textproto.TrimString(value)
}

// decodeMetadata decodes the result of encode.
func decodeMetadata(op string, payload []byte) (metadata, http.Header, error) {
	reader := textproto.NewReader(bufio.NewReaderSize(bytes.NewReader(payload), len(payload)))
	fields, err := reader.ReadMIMEHeader()
	if err != nil {
		return nil, nil, faulter.New(op, KindMalformed, err)
	}
	header, err := reader.ReadMIMEHeader()
	if err != nil {
		return nil, nil, faulter.New(op, KindMalformed, err)
	}
	if reader.R.Buffered() > 0 {
		return nil, nil, faulter.Newf(op, KindMalformed, "%d bytes after the header", reader.R.Buffered())
	}
	return metadata(fields), http.Header(header), nil
}

func (m metadata) text(name string) string { return textproto.MIMEHeader(m).Get(name) }

func (m metadata) texts(name string) []string { return textproto.MIMEHeader(m).Values(name) }

func (m metadata) boolean(name string) bool { return m.text(name) == strconv.FormatBool(true) }

func (m metadata) integer(name string) (int, error) {
	value, err := strconv.Atoi(m.text(name))
	if err != nil {
		return 0, faulter.New("decode "+name, KindMalformed, err)
	}
	return value, nil
}

// duration returns zero if there is no such field.
func (m metadata) duration(name string) (time.Duration, error) {
	text := m.text(name)
	if text == "" {
		return 0, nil
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return 0, faulter.New("decode "+name, KindMalformed, err)
	}
	return value, nil
}

var lineBreaks = strings.NewReplacer("\r", " ", "\n", " ")

func oneLine(text string) string { return lineBreaks.Replace(text) }
