package exchange

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"log/slog"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
)

// maxPackedTable bounds what a packed configuration may unfold to: a hundred times one of 2,000 routes.
const maxUnpackedTableBytes = 32 << 20

// packTable makes a configuration small for the way between boxes, once for all that it is told to: a hub
// with a narrow link and a part of a core passes each configuration on to its whole hall.
func packTable(table *willowwick.RoutingTable) []byte {
	var packed bytes.Buffer
	// Neither fails: the level is known, and the buffer takes everything.
	writer, _ := flate.NewWriter(&packed, flate.DefaultCompression)
	if err := gob.NewEncoder(writer).Encode(table); err != nil {
		slog.Error("configuration could not be packed", "version", table.Version, "error", err)
		return nil
	}
	_ = writer.Close()
	return packed.Bytes()
}

// unpackTable reads a configuration that another box packed.
func unpackTable(packed []byte) (*willowwick.RoutingTable, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	defer func() { _ = reader.Close() }()
	var table willowwick.RoutingTable
	if err := gob.NewDecoder(io.LimitReader(reader, maxUnpackedTableBytes)).Decode(&table); err != nil {
		return nil, errors.Wrap(err, "packed configuration")
	}
	return &table, nil
}
