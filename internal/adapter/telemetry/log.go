// Package telemetry creates the logger and records events of requests, endpoints
// and peers as log lines and metrics.
package telemetry

import (
	"io"
	"strconv"
	"time"

	"github.com/rs/zerolog"
)

// NewLogger returns a logger that writes one line of key=value pairs per event.
func NewLogger(w io.Writer) zerolog.Logger {
	writer := zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: time.RFC3339Nano,
		FormatTimestamp: func(v any) string { return "time=" + str(v) },
		FormatLevel:     func(v any) string { return "level=" + str(v) },
		FormatMessage:   func(v any) string { return "event=" + quote(str(v)) },
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(writer).With().Timestamp().Logger()
}

func str(v any) string {
	s, _ := v.(string)
	return s
}

func quote(s string) string {
	for _, r := range s {
		if r <= ' ' || r == '"' || r == '=' {
			return strconv.Quote(s)
		}
	}
	return s
}
