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

// brokenStatusLines, brokenFields and brokenFramings are broken answers; FIELDS stands for good fields, and INNER for a body that reads like an answer.
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
	brokenFields = []BrokenAnswer{
		{"a blank in a name", "HTTP/1.1 200 OK\r\nFIELDSX Foo: b\r\nContent-Length: 6\r\n\r\ntheirs"},
		{"a blank after a name", "HTTP/1.1 200 OK\r\nFIELDSX-Foo : b\r\nContent-Length: 6\r\n\r\ntheirs"},
		{"a tab after a name", "HTTP/1.1 200 OK\r\nFIELDSX-Foo\t: b\r\nContent-Length: 6\r\n\r\ntheirs"},
		{"a control byte in a name", "HTTP/1.1 200 OK\r\nFIELDSX-\x01Foo: b\r\nContent-Length: 6\r\n\r\ntheirs"},
		{"a NUL in a name", "HTTP/1.1 200 OK\r\nFIELDSX-Foo\x00: b\r\nContent-Length: 6\r\n\r\ntheirs"},
		{"a DEL in a name", "HTTP/1.1 200 OK\r\nFIELDSX\x7fFoo: b\r\nContent-Length: 6\r\n\r\ntheirs"},
		{"a bare CR in a name", "HTTP/1.1 200 OK\r\nFIELDSX\rFoo: b\r\nContent-Length: 6\r\n\r\ntheirs"},
		{"a byte over 0x7f in a name", "HTTP/1.1 200 OK\r\nFIELDSX-F\xe9: b\r\nContent-Length: 6\r\n\r\ntheirs"},
		{"no name", "HTTP/1.1 200 OK\r\nFIELDS: b\r\nContent-Length: 6\r\n\r\ntheirs"},
		{"no colon", "HTTP/1.1 200 OK\r\nFIELDSX-Foo\r\nContent-Length: 6\r\n\r\ntheirs"},
		{"a control byte in a value", "HTTP/1.1 200 OK\r\nFIELDSX-Foo: \x01\r\nContent-Length: 6\r\n\r\ntheirs"},
		{"a bare CR in a value", "HTTP/1.1 200 OK\r\nFIELDSX-Foo: a\rb\r\nContent-Length: 6\r\n\r\ntheirs"},
		{"a blank in Transfer-Encoding", "HTTP/1.1 200 OK\r\nFIELDSTransfer Encoding: chunked\r\n\r\n6\r\ntheirs\r\n0\r\n\r\n"},
		{"a blank after Transfer-Encoding", "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding : chunked\r\n\r\n6\r\ntheirs\r\n0\r\n\r\n"},
		{"a blank in Content-Length", "HTTP/1.1 200 OK\r\nFIELDSContent Length: 6\r\n\r\ntheirsEXTRA"},
		{"a blank after Content-Length", "HTTP/1.1 200 OK\r\nFIELDSContent-Length : 6\r\n\r\ntheirsEXTRA"},
		{"a blank before Content-Length", "HTTP/1.1 200 OK\r\nFIELDS Content-Length: 6\r\n\r\ntheirsEXTRA"},
		{"a line joined to the one before", "HTTP/1.1 200 OK\r\nFIELDS forged\r\nContent-Length: 6\r\n\r\ntheirs"},
		{"a line joined to the one before by a tab", "HTTP/1.1 200 OK\r\nFIELDS\tforged\r\nContent-Length: 6\r\n\r\ntheirs"},
		{"a joined line of blanks", "HTTP/1.1 200 OK\r\nFIELDS  \r\nContent-Length: 6\r\n\r\ntheirs"},
		{"chunks by HTTP/1.0", "HTTP/1.0 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\n\r\n6\r\ntheirs\r\n0\r\n\r\n"},
		{"a blank in a name, informational", "HTTP/1.1 103 Early Hints\r\nX Foo: b\r\n\r\nHTTP/1.1 200 OK\r\nFIELDSContent-Length: 6\r\n\r\ntheirs"},
		{"status 503 beside a blank in a name", "HTTP/1.1 503 No\r\nFIELDSX Foo: b\r\nContent-Length: 6\r\n\r\ntheirs"},
		{"status 421 beside a blank in a name", "HTTP/1.1 421 No\r\nFIELDSX Foo: b\r\nContent-Length: 6\r\n\r\ntheirs"},
		{"status 500 beside a blank in a name", "HTTP/1.1 500 No\r\nFIELDSX Foo: b\r\nContent-Length: 6\r\n\r\ntheirs"},
	}
	brokenFramings = []BrokenAnswer{
		{"a length with a sign", "HTTP/1.1 200 OK\r\nFIELDSContent-Length: +6\r\n\r\ntheirs"},
		{"a length below zero", "HTTP/1.1 200 OK\r\nFIELDSContent-Length: -6\r\n\r\ntheirs"},
		{"a length that is a word", "HTTP/1.1 200 OK\r\nFIELDSContent-Length: theirs\r\n\r\ntheirs"},
		{"no digits in the length", "HTTP/1.1 200 OK\r\nFIELDSContent-Length:\r\n\r\ntheirs"},
		{"two lengths in a line", "HTTP/1.1 200 OK\r\nFIELDSContent-Length: 5, 6\r\n\r\ntheirs"},
		{"two lengths that differ", "HTTP/1.1 200 OK\r\nFIELDSContent-Length: 5\r\nContent-Length: 6\r\n\r\ntheirs"},
		{"an unknown coding", "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: theirs\r\n\r\n6\r\ntheirs\r\n0\r\n\r\n"},
		{"two codings", "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: gzip, chunked\r\n\r\n6\r\ntheirs\r\n0\r\n\r\n"},
		{"chunks twice", "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n6\r\ntheirs\r\n0\r\n\r\n"},
		{"an unknown coding beside status 503", "HTTP/1.1 503 No\r\nFIELDSTransfer-Encoding: theirs\r\n\r\n6\r\ntheirs\r\n0\r\n\r\n"},
	}
)

// BrokenStatusLines returns answers whose status lines HTTP doesn't allow; fields are lines that are added to their heads.
func BrokenStatusLines(fields string) []BrokenAnswer { return withFields(brokenStatusLines, fields) }

// BrokenFields returns answers with a field that HTTP doesn't allow; fields are lines that are added to their heads.
func BrokenFields(fields string) []BrokenAnswer { return withFields(brokenFields, fields) }

// BrokenFramings returns answers whose heads tell no length or coding of the body that HTTP allows; fields are lines that are added to
// their heads.
func BrokenFramings(fields string) []BrokenAnswer { return withFields(brokenFramings, fields) }

// BrokenLines returns all answers of BrokenStatusLines and BrokenFields, in whose heads a line by itself is wrong.
func BrokenLines(fields string) []BrokenAnswer {
	return append(BrokenStatusLines(fields), BrokenFields(fields)...)
}

// BrokenAnswers returns all answers of BrokenLines and BrokenFramings.
func BrokenAnswers(fields string) []BrokenAnswer {
	return append(BrokenLines(fields), BrokenFramings(fields)...)
}

func withFields(answers []BrokenAnswer, fields string) []BrokenAnswer {
	inner := "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\ninner"
	filled := make([]BrokenAnswer, len(answers))
	for i, answer := range answers {
		filled[i] = BrokenAnswer{answer.Name, strings.NewReplacer("FIELDS", fields, "INNER", inner).Replace(answer.Text)}
	}
	return filled
}
