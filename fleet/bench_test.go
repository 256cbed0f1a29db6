package fleet

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/rollout"
)

// benchDigest returns a digest with as many rows as at the largest supported fleet size.
func benchDigest(box, loads int) Digest {
	now := time.Now()
	d := Digest{
		Box: willowwick.BoxID(fmt.Sprintf("box%03d", box)), Boot: "0123456789ab", Hall: "hall0", Peer: "10.0.0.1:8081",
		Version: newDigestVersion(now, uint64(box)), Offset: 1000,
	}
	for i := range 10 {
		d.Demand.Add(HashName(fmt.Sprint("account", i)), 4000)
	}
	for i := range 23 {
		d.Evidence.Add(HashName(fmt.Sprint("version", i)), rollout.Evidence{Requests: 100_000, Errors: 100, Slow: 3000, Rated: 10_000, Low: 900})
	}
	for i := range loads {
		d.Loads.Add(willowwick.EndpointLoad{Endpoint: willowwick.EndpointID(fmt.Sprint("runner", i)), Running: 20, Waiting: 2, Slots: 64, At: now}, now)
	}
	return d
}

// BenchmarkDigest encodes a digest and merges a hall's digests, at three sizes of hall.
func BenchmarkDigest(b *testing.B) {
	for _, hall := range []int{2, 16, 65} {
		b.Run(fmt.Sprintf("hall=%d", hall), func(b *testing.B) {
			var buffer bytes.Buffer
			encoder := gob.NewEncoder(&buffer)
			digest := benchDigest(1, 670/hall)
			require.NoError(b, encoder.Encode(digest))
			buffer.Reset()
			require.NoError(b, encoder.Encode(digest))
			table := NewTable(Identity{Box: "self", Hall: "hall0"})
			now := time.Now()
			for n := 0; b.Loop(); n++ {
				for box := range hall {
					d := digest
					d.Box = willowwick.BoxID(fmt.Sprint("box", box))
					d.Version = DigestVersion(n + 1)
					table.Merge(now, []Digest{d}, nil)
				}
				table.HallDigest(now)
			}
			b.ReportMetric(float64(buffer.Len()), "B/digest")
		})
	}
}

// BenchmarkClaim measures the work of one replica for one claim, at three sizes of fleet.
func BenchmarkClaim(b *testing.B) {
	for _, boxes := range []int{7, 96, 390} {
		b.Run(fmt.Sprintf("boxes=%d", boxes), func(b *testing.B) {
			now := time.Now()
			roster, r := benchRegistry(now, boxes)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				key := fmt.Sprint("claim/account/service/key", n)
				ReplicaPair(roster, key)
				r.Put(now, PutArgs{Epoch: 1, Strict: true, Entry: RegistryEntry{Key: key, Value: "r", Deadline: now.Add(time.Minute)}})
				r.Drop(DropArgs{Key: key, Value: "r"})
			}
		})
	}
}

func benchRoster(boxes int) config.Roster {
	roster := config.Roster{Epoch: 1}
	for i := range boxes {
		roster.Members = append(roster.Members, config.Member{
			Boot: willowwick.BootID(fmt.Sprint("boot", i)), Box: willowwick.BoxID(fmt.Sprint("box", i)),
			Hall: willowwick.HallID(fmt.Sprint("hall", i%6)), Peer: "10.0.0.1:8081",
		})
	}
	return roster
}

// benchRegistry returns the registry of one box in a fleet of the given size.
func benchRegistry(now time.Time, boxes int) (config.Roster, *Registry) {
	roster := benchRoster(boxes)
	r := NewRegistry(roster.Members[0].Boot)
	r.Adopt(now, roster, config.Roster{})
	return roster, r
}

// BenchmarkExport groups 1,000 entries by box for a new roster, which each box does once per roster.
func BenchmarkExport(b *testing.B) {
	for _, boxes := range []int{7, 96, 390} {
		b.Run(fmt.Sprintf("boxes=%d", boxes), func(b *testing.B) {
			now := time.Now()
			roster, r := benchRegistry(now, boxes)
			for n := range 1000 {
				key := fmt.Sprint("claim/account/service/key", n)
				r.Put(now, PutArgs{Epoch: 1, Entry: RegistryEntry{Key: key, Value: "r", Deadline: now.Add(time.Minute)}})
			}
			for b.Loop() {
				r.exports = nil
				r.Export(now, ExportArgs{Epoch: 1, For: roster.Members[1].Boot})
			}
		})
	}
}

// BenchmarkLedger folds batches of usage.
func BenchmarkLedger(b *testing.B) {
	ledger := NewLedger()
	var data bytes.Buffer
	data.WriteString(`{"records":[`)
	for i := range 100 {
		if i > 0 {
			data.WriteString(",")
		}
		fmt.Fprintf(&data, `{"boot":"b","seq":%d,"request":"box1-0123456789ab-%d","account":"account1","version":"model-01-version-1","prompt":900,"output":300,"cost":540,"at":"2026-01-01T12:00:00Z"}`, i, i)
	}
	data.WriteString("]}")
	for b.Loop() {
		if err := ledger.Fold(willowwick.Entry{Offset: 1, Data: data.Bytes()}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(data.Len())/100, "B/record")
}
