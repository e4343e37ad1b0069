package main_test

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestHelpSettings runs the command that error messages and the operators' page name.
func TestHelpSettings(t *testing.T) {
	is := is.New(t)
	binary := filepath.Join(t.TempDir(), "chicoryturn")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	is.NoErr(err)
	is.Equal(string(out), "")
	out, err = exec.Command(binary, "help", "settings").CombinedOutput()
	is.NoErr(err)
	is.True(strings.Contains(string(out), "lease of a worker"))
	out, err = exec.Command(binary, "help", "other").CombinedOutput()
	is.True(err != nil)
	is.True(strings.Contains(string(out), "the only topic is settings"))
}
