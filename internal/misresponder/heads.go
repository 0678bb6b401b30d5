package misresponder

// MalformedHeads are the first lines of heads that are none, by what is wrong with them. More
// fields may follow.
var MalformedHeads = map[string]string{
	"status 000":                     "HTTP/1.1 000 Odd\r\n",
	"status 099":                     "HTTP/1.1 099 Odd\r\n",
	"status with a sign":             "HTTP/1.1 +20 Odd\r\n",
	"status of four digits":          "HTTP/1.1 2000 Odd\r\n",
	"status 000 after 103":           "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Odd\r\n",
	"blank in a name":                "HTTP/1.1 200 OK\r\nX Odd: 1\r\n",
	"blank after a name":             "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n",
	"blank after the name of length": "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n",
	"blank after the name of coding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	"tab in a name":                  "HTTP/1.1 200 OK\r\nX\tOdd: 1\r\n",
	"control byte in a name":         "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n",
	"NUL in a name":                  "HTTP/1.1 200 OK\r\nX\x00Odd: 1\r\n",
	"high byte in a name":            "HTTP/1.1 200 OK\r\nX\x80Odd: 1\r\n",
	"parenthesis in a name":          "HTTP/1.1 200 OK\r\nX(Odd): 1\r\n",
	"empty name":                     "HTTP/1.1 200 OK\r\n: 1\r\n",
	"no colon":                       "HTTP/1.1 200 OK\r\nX-Odd\r\n",
	"control byte in a value":        "HTTP/1.1 200 OK\r\nX-Odd: a\x01b\r\n",
}
