// Package explain implements the commands that read the logs of routers: the trace of one
// request, and what the requests at crashed servers have in common.
//
// # Usage
//
//	err := explain.Run(os.Stdout, "9c41d07be2a35f68", []string{"vm-1.log", "vm-2.log"})
//	err = explain.Crashes(os.Stdout, []string{"vm-1.log", "vm-2.log"})
package explain

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"amaranthtide"
	"amaranthtide/protocol/logline"
)

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Run prints the trace of a request to w. It marks the lines that carry the request's
// own identifier with ">". The error is of KindBadRequest if a file can't be read or
// no line belongs to the request.
func Run(w io.Writer, id amaranthtide.RequestID, files []string) error {
	lines, unparsed, err := readLogs(files)
	if err != nil {
		return err
	}
	trace := logline.Trace(id, lines)
	if len(trace) == 0 {
		return amaranthtide.Errorf(amaranthtide.KindBadRequest, "no line in %d files belongs to request %s; %d lines could not be parsed", len(files), id, unparsed)
	}
	start := trace[0].Time
	for _, l := range trace {
		mark := " "
		if l.Request == id {
			mark = ">"
		}
		if _, err := fmt.Fprintf(w, "%s %9.3f s  %-20s %-5s %s\n", mark, l.Time.Sub(start).Seconds(), l.VM, l.Level, l); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(w, "%d lines, %d could not be parsed\n", len(lines), unparsed)
	return err
}

// Crashes prints to w, for each part of a prompt that was at a server when it crashed, how
// many servers crashed with it and how many requests with it were answered. The error is of
// KindBadRequest if a file can't be read.
func Crashes(w io.Writer, files []string) error {
	lines, unparsed, err := readLogs(files)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "%-24s %8s %8s %8s\n", "prompt part", "crashes", "prompts", "answered"); err != nil {
		return err
	}
	for _, o := range logline.PartOutcomes(lines) {
		if _, err := fmt.Fprintf(w, "%-24s %8d %8d %8d\n", o.Part, o.Crashes, o.Prompts, o.Answered); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(w, "%d lines, %d could not be parsed\n", len(lines), unparsed)
	return err
}

// readLogs parses log files and counts the lines that can't be parsed.
func readLogs(files []string) (lines []logline.Line, unparsed int, err error) {
	for _, name := range files {
		more, n, err := readLog(name)
		if err != nil {
			return nil, 0, amaranthtide.Errorf(amaranthtide.KindBadRequest, "log %s: %w", name, err)
		}
		lines = append(lines, more...)
		unparsed += n
	}
	return lines, unparsed, nil
}

// readLog parses a log file and counts the lines that can't be parsed.
func readLog(name string) (lines []logline.Line, unparsed int, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = f.Close() }()
	r := bufio.NewReader(f)
	for {
		line, err := readLine(r)
		if errors.Is(err, io.EOF) {
			return lines, unparsed, nil
		}
		if err != nil {
			return lines, unparsed, err
		}
		l, err := logline.Parse(line)
		if err != nil {
			unparsed++
			continue
		}
		lines = append(lines, l)
	}
}

// readLine reads a line without its end. A line longer than maxLine is cut to that length,
// so that it can't be parsed. The error is io.EOF after the last line.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, isPrefix, err := r.ReadLine()
		if err != nil {
			return nil, err
		}
		line = append(line, part[:min(len(part), maxLine-len(line))]...)
		if !isPrefix {
			return line, nil
		}
	}
}
