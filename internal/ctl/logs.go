package ctl

import (
	"bufio"
	"io"
	"os"
	"strings"
	"time"
)

// eachLine calls f with each line of the files, or of standard input if there are
// none, that has a time.
func eachLine(files []string, f func(at time.Time, text string)) error {
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

func scanLog(r io.Reader, f func(at time.Time, text string)) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLogLine)
	for s.Scan() {
		text := s.Text()
		if at, err := time.Parse(time.RFC3339Nano, field(text, "time")); err == nil {
			f(at, text)
		}
	}
	return s.Err()
}

// field returns the value of a key of a line, without quotes.
func field(line, key string) string {
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
