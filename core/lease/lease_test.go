package lease_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core/lease"
)

func TestLease(t *testing.T) {
	is := is.New(t)
	const ttl = 3 * time.Second
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	l := lease.New(ttl)
	is.True(!l.Valid(start)) // not granted yet
	l.Renew(start, ttl)
	is.True(l.Valid(at(2 * time.Second)))
	l.Renew(at(time.Second), ttl) // valid for ttl after the renewal was sent
	is.True(l.Valid(at(3900 * time.Millisecond)))
	is.True(!l.Valid(at(4 * time.Second)))
	l.Renew(at(4*time.Second), time.Hour)
	is.True(!l.Valid(at(8 * time.Second))) // the gap between two calls is longer than maxGap
	is.True(!lease.Lapsed(start, at(ttl), ttl))
	is.True(lease.Lapsed(start, at(ttl+200*time.Millisecond), ttl))
}
