package wire

import (
	"log/slog"
	"net/http"
	"strconv"
	"strings"

	"github.com/willowwick/willowwick"
	"golang.org/x/net/http/httpguts"
)

// Rules of HTTP for the head of an answer. The names of fields and what ends a line say where the body ends, so a head that breaks one
// may belong to another body than it seems to.
const (
	// RuleStatusLine: the line is HTTP/1, a minor version, a blank, three digits and, if there is more, a blank and the reason.
	RuleStatusLine HeadRule = "the status line has another form"
	// RuleStatus: a status is one of 100 to 599.
	RuleStatus HeadRule = "the status is none of 100 to 599"
	// RuleSwitch: only who asked for another protocol gets it.
	RuleSwitch HeadRule = "the status switches to a protocol that nobody asked for"
	// RuleName: a field begins with its name, a token, and a colon right behind it.
	RuleName HeadRule = "the name of a field isn't a token"
	// RuleFold: a line that begins with a blank was once joined to the one before it.
	RuleFold HeadRule = "a field begins with a blank"
	// RuleControl: of the control bytes only a tab may be in a line.
	RuleControl HeadRule = "a line holds a control byte"
	// RuleCoding: HTTP/1.0 has no transfer codings.
	RuleCoding HeadRule = "an answer of HTTP/1.0 has a transfer coding"
	// RuleFraming: a length is one number, and the only transfer coding is chunked.
	RuleFraming HeadRule = "the end of the body isn't told by a valid length or coding"
)

// brokenHeadMessage is the message of the log line of each broken head.
const brokenHeadMessage = "an answer whose head HTTP doesn't allow is dropped"

const (
	// maxLineBegin is how many bytes of a line are kept to be checked and logged.
	maxLineBegin = 48
	// statusAt and statusEnd are where the status begins and ends in a status line.
	statusAt  = len("HTTP/1.1 ")
	statusEnd = statusAt + len("200")
	// minStatus and maxStatus are the lowest and the highest status.
	minStatus, maxStatus = 100, 599
)

type (
	// HeadRule is a rule for the head of an answer, as errors and log lines name its breach.
	HeadRule string

	// BrokenHeadError is returned for an answer whose head HTTP doesn't allow; it wraps willowwick.ErrBroken.
	BrokenHeadError struct {
		Rule HeadRule
		Line int // number of the line, from 1; 0 if no single line breaks it
	}

	// headLines checks and counts the lines of one head as they arrive, up to the empty one that ends it.
	headLines struct {
		count   int
		isEnded bool
		broken  *BrokenHeadError // nil while no rule is broken

		// Of the line that isn't complete:
		length  int    // without its end
		begin   []byte // maxLineBegin bytes at most
		endsCR  bool   // its newest byte is a CR
		isValue bool   // it is a field whose name is complete

		status int  // 0 before the status line is complete
		isOld  bool // HTTP/1.0
	}
)

// Error implements error. What the head holds is for the log: the text may reach a caller.
func (e *BrokenHeadError) Error() string {
	text := "the head of an answer: " + string(e.Rule)
	if e.Line > 0 {
		text = "line " + strconv.Itoa(e.Line) + " of " + text
	}
	return text
}

// Unwrap returns willowwick.ErrBroken.
func (*BrokenHeadError) Unwrap() error { return willowwick.ErrBroken }

// add checks further bytes of the head and returns how many of them belong to it and break no rule.
func (h *headLines) add(data []byte) int {
	for i, b := range data {
		if h.isEnded || h.broken != nil {
			return i
		}
		if rule := h.addByte(b); rule != "" {
			h.broken = &BrokenHeadError{Rule: rule, Line: h.count + 1}
			return i
		}
	}
	return len(data)
}

// addByte returns the rule that the byte breaks; it is empty if there is none.
func (h *headLines) addByte(b byte) HeadRule {
	if b == '\n' {
		return h.endLine()
	}
	if h.endsCR {
		return RuleControl
	}
	if b == '\r' {
		h.endsCR = true
		return ""
	}
	h.length++
	if len(h.begin) < maxLineBegin {
		h.begin = append(h.begin, b)
	}
	switch {
	case h.count == 0 || h.isValue:
		return checkText(b)
	case b == ':' && h.length > 1:
		h.isValue = true
		return ""
	case h.length == 1 && (b == ' ' || b == '\t'):
		return RuleFold
	case !httpguts.IsTokenRune(rune(b)):
		return RuleName
	default:
		return ""
	}
}

// checkText checks a byte of a reason or a value: bytes over 0x7f are allowed.
func checkText(b byte) HeadRule {
	const del = 0x7f
	if b < ' ' && b != '\t' || b == del {
		return RuleControl
	}
	return ""
}

func (h *headLines) endLine() HeadRule {
	rule := HeadRule("")
	switch {
	case h.count == 0:
		rule = h.checkStatusLine()
	case h.length == 0:
		h.isEnded = true
	case !h.isValue:
		rule = RuleName
	case h.isOld && strings.EqualFold(h.name(), "Transfer-Encoding"):
		rule = RuleCoding
	}
	if rule != "" {
		return rule
	}
	h.count++
	h.length, h.begin, h.endsCR, h.isValue = 0, h.begin[:0], false, false
	return ""
}

// name returns the name of the field in the line, or its begin.
func (h *headLines) name() string {
	name, _, _ := strings.Cut(string(h.begin), ":")
	return name
}

func (h *headLines) checkStatusLine() HeadRule {
	line := string(h.begin)
	major, minor, isKnown := http.ParseHTTPVersion(line[:min(len(line), statusAt-1)])
	if !isKnown || major != 1 || len(line) < statusEnd || line[statusAt-1] != ' ' || len(line) > statusEnd && line[statusEnd] != ' ' {
		return RuleStatusLine
	}
	status, err := strconv.ParseUint(line[statusAt:statusEnd], 10, 16)
	switch {
	case err != nil:
		return RuleStatusLine
	case status < minStatus || status > maxStatus:
		return RuleStatus
	case status == http.StatusSwitchingProtocols:
		return RuleSwitch
	}
	h.status, h.isOld = int(status), minor == 0
	return ""
}

// isInformational reports whether another head follows this one.
func (h *headLines) isInformational() bool {
	return h.status < http.StatusOK
}

// log logs the breach of a rule by the head of an answer from an address; values aren't logged.
func (h *headLines) log(address string) {
	begin := string(h.begin)
	if h.count > 0 {
		begin = h.name()
	}
	slog.Warn(brokenHeadMessage, "address", address, "rule", h.broken.Rule, "line", h.broken.Line,
		"begin", strconv.QuoteToASCII(begin))
}
