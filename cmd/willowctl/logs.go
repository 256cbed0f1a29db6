package main

import (
	"bufio"
	"bytes"
	"io"
	"os"

	"github.com/pkg/errors"
)

// maxLogLine bounds a line of a log.
const maxLogLine = 1 << 20

// eachLine calls do with the JSON of each line of the logs, or of standard input if none are named; what stands before a
// line's first brace is a collector's own.
func eachLine(files []string, do func(data []byte) error) error {
	if len(files) == 0 {
		return eachLineOf(os.Stdin, do)
	}
	for _, name := range files {
		if err := eachLineOfFile(name, do); err != nil {
			return errors.Wrapf(err, "log %s", name)
		}
	}
	return nil
}

func eachLineOfFile(name string, do func(data []byte) error) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open")
	}
	defer func() { _ = file.Close() }()
	return eachLineOf(file, do)
}

func eachLineOf(r io.Reader, do func(data []byte) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		data := scanner.Bytes()
		start := bytes.IndexByte(data, '{')
		if start < 0 {
			continue
		}
		if err := do(data[start:]); err != nil {
			return err
		}
	}
	return errors.Wrap(scanner.Err(), "read")
}
