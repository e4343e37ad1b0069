package main_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// build builds the program and returns its path.
func build(t *testing.T) string {
	is := is.New(t)
	binary := filepath.Join(t.TempDir(), "chicoryturn")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	is.NoErr(err)
	is.Equal(string(out), "")
	return binary
}

// TestHelpSettings runs the command that error messages and the operators' page name.
func TestHelpSettings(t *testing.T) {
	is := is.New(t)
	binary := build(t)
	out, err := exec.Command(binary, "help", "settings").CombinedOutput()
	is.NoErr(err)
	is.True(strings.Contains(string(out), "lease of a worker"))
	out, err = exec.Command(binary, "help", "other").CombinedOutput()
	is.True(err != nil)
	is.True(strings.Contains(string(out), "the only topic is settings"))
}

// TestCheckExit guards against a script that sends a configuration with errors since the exit
// code did not tell.
func TestCheckExit(t *testing.T) {
	is := is.New(t)
	binary, dir := build(t), t.TempDir()
	good, bad := filepath.Join(dir, "good.json"), filepath.Join(dir, "bad.json")
	is.NoErr(os.WriteFile(good, []byte(`{"Version":2,"Services":[{"Name":"s"}]}`), 0o600))
	is.NoErr(os.WriteFile(bad, []byte(`{"Version":1,"Services":[{"Name":""}]}`), 0o600))
	for _, c := range []struct {
		args []string
		code int
	}{
		{[]string{"-c", good}, 0}, {[]string{"-c", good, "-v", bad}, 0}, {[]string{"-c", bad}, 1}, {[]string{"-c", good, "-v", good}, 1},
		{nil, 2}, {[]string{"-c", dir}, 2}, {[]string{good, "-c", good}, 2}, {[]string{good, "-v", good}, 2},
	} {
		cmd := exec.Command(binary, append([]string{"check"}, c.args...)...)
		_ = cmd.Run() // The exit code is compared below.
		is.Equal(cmd.ProcessState.ExitCode(), c.code)
	}
}
