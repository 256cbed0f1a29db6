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

// maxUnpackedTableBytes bounds the size of an unpacked configuration: a hundred times one of 2,000 routes.
const maxUnpackedTableBytes = 32 << 20

// packTable compresses a configuration for other boxes, once for all recipients: a hub with a narrow link and a part of
// a core forwards each configuration to its whole hall.
func packTable(table *willowwick.RoutingTable) []byte {
	var packed bytes.Buffer
	// Neither fails: the level is valid, and writes to the buffer succeed.
	writer, _ := flate.NewWriter(&packed, flate.DefaultCompression)
	if err := gob.NewEncoder(writer).Encode(table); err != nil {
		slog.Error("packing the configuration failed", "version", table.Version, "error", err)
		return nil
	}
	_ = writer.Close()
	return packed.Bytes()
}

// unpackTable decodes a configuration that another box packed.
func unpackTable(packed []byte) (*willowwick.RoutingTable, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	defer func() { _ = reader.Close() }()
	var table willowwick.RoutingTable
	if err := gob.NewDecoder(io.LimitReader(reader, maxUnpackedTableBytes)).Decode(&table); err != nil {
		return nil, errors.Wrap(err, "decode packed configuration")
	}
	return &table, nil
}
