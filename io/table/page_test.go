package table_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"chicoryturn/io/table"
)

// TestPageWithoutRows guards against rows that count as absent since a page on the way to them
// holds none.
func TestPageWithoutRows(t *testing.T) {
	is := is.New(t)
	r := table.Range{Table: "t", From: "a", To: "z"}
	rows := []table.Row{{Key: table.Key{Name: "b"}}, {Key: table.Key{Name: "c"}}}

	rest, more, err := table.Page{Rows: rows, More: true}.Rest(r)
	is.NoErr(err)
	is.True(more)
	is.Equal(rest, table.Range{Table: "t", From: "c\x01", To: "z"})

	_, more, err = table.Page{}.Rest(r)
	is.NoErr(err)
	is.True(!more)

	_, _, err = table.Page{More: true}.Rest(r)
	var empty *table.EmptyPageError
	is.True(errors.As(err, &empty))
}
