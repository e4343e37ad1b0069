package conns_test

import (
	"testing"

	"github.com/matryer/is"

	"chicoryturn/io/conns"
)

// TestBounds guards against bounds that ordinary clients meet: the smallest VM accepts the streams
// of a fleet's other VMs and has descriptors left for five connections to each of 350 workers; and
// against bounds of 0 on a machine with few descriptors.
func TestBounds(t *testing.T) {
	is := is.New(t)
	smallest := conns.Resources{Memory: 144 << 20, Files: 3075}
	peers, clients := smallest.Bounds(conns.PeerShare), smallest.Bounds(conns.ClientShare)
	others := smallest.Bounds(conns.ProbeShare).Conns + smallest.Bounds(conns.OperatorShare).Conns
	is.True(peers.Conns >= 350)
	is.True(clients.Conns >= 350)
	is.True(smallest.Files-200-peers.Conns-clients.Conns-others >= 5*350)
	// Thirty clients with the largest headers at once.
	is.True(clients.Headers >= 30*32*16<<10)
	is.True(conns.Resources{Memory: 1 << 20, Files: 100}.Bounds(conns.ProbeShare).Conns > 0)
	is.Equal(conns.Resources{Files: 1000}.Bounds(conns.ClientShare), conns.Bounds{Conns: 150})
}
