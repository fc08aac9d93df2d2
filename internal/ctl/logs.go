package ctl

import (
	"bufio"
	"io"
	"os"
	"strings"
	"time"
)

// eachLogLine calls f for each line of the files, or of standard input if there are
// none. Lines without a valid time are skipped.
func eachLogLine(files []string, f func(timestamp time.Time, text string)) error {
	if len(files) == 0 {
		return scanLog(os.Stdin, f)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		err = scanLog(file, f)
		file.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

func scanLog(r io.Reader, f func(timestamp time.Time, text string)) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLogLineBytes)
	for s.Scan() {
		text := s.Text()
		if timestamp, err := time.Parse(time.RFC3339Nano, logField(text, "time")); err == nil {
			f(timestamp, text)
		}
	}
	return s.Err()
}

// logField returns the unquoted value of a key in a log line, or an empty string
// if the line does not have the key.
func logField(line, key string) string {
	i := strings.Index(" "+line, " "+key+"=")
	if i < 0 {
		return ""
	}
	v := line[i+len(key)+1:]
	if strings.HasPrefix(v, `"`) {
		v, _, _ = strings.Cut(v[1:], `"`)
		return v
	}
	v, _, _ = strings.Cut(v, " ")
	return v
}
