package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// daemonVariable makes the test's own binary run the daemon.
const daemonVariable = "EELGRASSD_TEST_RUNS_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(daemonVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Guards against a daemon that ends because SIGHUP comes before it has read its settings.
// The settings are a pipe, so that the signal comes while they are read.
func TestHangupDuringTheStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	daemon := exec.Command(os.Args[0], "-hosted", "-settings", path)
	daemon.Env = append(os.Environ(), daemonVariable+"=1")
	if err := daemon.Start(); err != nil {
		t.Fatal(err)
	}
	settings, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := daemon.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if _, err := settings.WriteString("no settings"); err != nil {
		t.Fatal(err)
	}
	settings.Close()
	var exit *exec.ExitError
	if err := daemon.Wait(); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("the daemon ended with %v, want the error of its settings", err)
	}
}

// Guards against a check that passes a configuration of which a daemon cannot use an entry.
func TestCheckOfAConfiguration(t *testing.T) {
	dir := t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	settings := write("settings", `{"instance":"d0","data_center":"a","listen":{"callers":"127.0.0.1:1","ready":"127.0.0.1:2","peers":"127.0.0.1:3"},"store":"127.0.0.1:4","cores":1,"memory_mb":256,"repeats":{"ratio":0.2,"slack":50,"window_s":10}}`)
	for name, c := range map[string]struct{ configuration, want string }{
		"sound":      {`{"version":1,"routes":[{"name":"a","hostname":"h","prefix":"/a/","backend":"p"}]}`, ""},
		"unusable":   {"{\"version\":1,\n\"routes\":[{\"name\":\"a\",\"prefix\":\"/a/\",\"backend\":\"p\"}]}", `:2:11: routes "a": cannot be used: it has no host`},
		"unreadable": {`{"version":"x"}`, "unreadable:1:"},
	} {
		check := exec.Command(os.Args[0], "-hosted", "-check", "-settings", settings, "-configuration", write(name, c.configuration))
		check.Env = append(os.Environ(), daemonVariable+"=1")
		output, err := check.CombinedOutput()
		if (err == nil) != (c.want == "") || !strings.Contains(string(output), c.want) {
			t.Errorf("%s: %v, %s; want %q", name, err, output, c.want)
		}
	}
}
