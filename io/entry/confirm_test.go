package entry_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/policy"
	"chicoryturn/io/entry"
)

// TestPause pauses a VM for some seconds, during which a key may be withdrawn. The VM
// must refuse calls as not executed until a read of the configuration that began after
// the pause has confirmed it, but not for long if it cannot reach the store.
func TestPause(t *testing.T) {
	is := is.New(t)
	boot := time.Hour
	deps := &fakeDeps{}
	e := entry.New(fakeRecords{deps}, deps, deps, deps, nil, entry.WithClock(func() time.Duration { return boot }))
	withKeys := func(version core.Version, keys ...string) *policy.Policy {
		return policy.New(version, []policy.Queue{{Name: "q", Host: "h", Prefix: "/q/"}}, []policy.Team{{Name: "t", Keys: keys}}, nil, 0)
	}
	code := func() core.Code {
		_, _, _, err := e.Authorize("h", "/q/1", "k")
		var refusal *core.RefusalError
		if errors.As(err, &refusal) {
			is.Equal(refusal.Execution, core.NotExecuted)
			return refusal.Code
		}
		return ""
	}
	e.SetPolicy(withKeys(1, "k"))
	e.ConfirmPolicy(boot)
	for range 10 { // the store does not answer, but the VM runs
		is.Equal(code(), core.Code(""))
		boot += 2 * time.Second
	}
	readBegan := boot
	boot += 6 * time.Second
	is.Equal(code(), core.CodeConfigUnconfirmed)
	is.Equal(len(e.Resumed()), 1)
	e.ConfirmPolicy(readBegan) // an answer from before the pause
	is.Equal(code(), core.CodeConfigUnconfirmed)
	boot += 2 * time.Second
	e.SetPolicy(withKeys(2))
	e.ConfirmPolicy(boot)
	is.Equal(code(), core.CodeBadKey)

	e.SetPolicy(withKeys(3, "k"))
	boot += 6 * time.Second
	for range 3 {
		is.Equal(code(), core.CodeConfigUnconfirmed)
		boot += 2 * time.Second
	}
	is.Equal(code(), core.Code(""))
}
