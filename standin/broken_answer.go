package standin

import (
	"strings"
)

type (
	// BrokenAnswer is an answer whose head HTTP doesn't allow.
	BrokenAnswer struct {
		Name string // what is wrong with it
		Text string
	}
)

// brokenStatusLines are broken answers; FIELDS stands for good fields, and INNER for a body that reads like an answer.
var (
	brokenStatusLines = []BrokenAnswer{
		{"status 000", "HTTP/1.1 000 \r\nFIELDSContent-Length: 6\r\n\r\ntheirs"},
		{"status 000, an answer as its body", "HTTP/1.1 000 \r\nFIELDSConnection: close\r\n\r\nINNER"},
		{"status 001, an answer as its body", "HTTP/1.1 001 One\r\n\r\nINNER"},
		{"status 099", "HTTP/1.1 099 \r\nFIELDSContent-Length: 6\r\n\r\ntheirs"},
		{"status 101, an answer after it", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\nINNER"},
		{"status 600", "HTTP/1.1 600 \r\nFIELDSContent-Length: 6\r\n\r\ntheirs"},
		{"status 777", "HTTP/1.1 777 \r\nFIELDSContent-Length: 6\r\n\r\ntheirs"},
		{"status 999", "HTTP/1.1 999 \r\nFIELDSContent-Length: 6\r\n\r\ntheirs"},
		{"status 20", "HTTP/1.1 20 OK\r\nFIELDSContent-Length: 6\r\n\r\ntheirs"},
		{"status +20", "HTTP/1.1 +20 OK\r\nFIELDSContent-Length: 6\r\n\r\ntheirs"},
		{"status 200OK", "HTTP/1.1 200OK\r\nFIELDSContent-Length: 6\r\n\r\ntheirs"},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\nFIELDSContent-Length: 6\r\n\r\ntheirs"},
		{"HTTP/9.9", "HTTP/9.9 200 OK\r\nFIELDSContent-Length: 6\r\n\r\ntheirs"},
		{"a control byte in the reason", "HTTP/1.1 200 O\x01K\r\nFIELDSContent-Length: 6\r\n\r\ntheirs"},
		{"a bare CR in the reason", "HTTP/1.1 200 O\rK\r\nFIELDSContent-Length: 6\r\n\r\ntheirs"},
	}
)

// BrokenStatusLines returns answers whose status lines HTTP doesn't allow; fields are lines that are added to their heads.
func BrokenStatusLines(fields string) []BrokenAnswer { return withFields(brokenStatusLines, fields) }

func withFields(answers []BrokenAnswer, fields string) []BrokenAnswer {
	inner := "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\ninner"
	filled := make([]BrokenAnswer, len(answers))
	for i, answer := range answers {
		filled[i] = BrokenAnswer{answer.Name, strings.NewReplacer("FIELDS", fields, "INNER", inner).Replace(answer.Text)}
	}
	return filled
}
