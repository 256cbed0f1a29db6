package main

import (
	"bufio"
	"bytes"
	"io"
	"os"

	"github.com/pkg/errors"
)

// maxLogLineBytes is the longest log line that is read; a longer one is an error.
const maxLogLineBytes = 1 << 20

// forEachLine calls do with the JSON of each line of the files, or of standard input if there are no files. It skips
// the text before a line's first brace, which log collectors add.
func forEachLine(files []string, do func(data []byte) error) error {
	if len(files) == 0 {
		return forEachLineIn(os.Stdin, do)
	}
	for _, name := range files {
		if err := forEachLineInFile(name, do); err != nil {
			return errors.Wrapf(err, "log %s", name)
		}
	}
	return nil
}

func forEachLineInFile(name string, do func(data []byte) error) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open")
	}
	defer func() { _ = file.Close() }()
	return forEachLineIn(file, do)
}

func forEachLineIn(r io.Reader, do func(data []byte) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
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
