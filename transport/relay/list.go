package relay

import (
	"errors"
	"fmt"
	"sync"

	"github.com/klauspost/compress/s2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thymerack/thymerack/coordination/fanout"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state/packed"
)

// minListObjects is the number of objects from which on a full copy is sent as a list.
const minListObjects = 64

// objectList is the content of Delta.List, compressed with S2: all objects of a kind by columns, since
// thousands of them are decoded by hosts with a fifth of a core. Values holds the values one after the
// other, and Sizes their sizes in bytes. All other slices have the same length.
type objectList struct {
	Names    []string `msgpack:"n"`
	Versions []uint64 `msgpack:"v"`
	Sizes    []int    `msgpack:"s"`
	Values   []byte   `msgpack:"d"`
}

// errListColumns reports a list whose columns don't match, as sent by a host of another version.
var errListColumns = errors.New("relay: the columns of a peer's list don't match; bring both hosts to the same release")

// encodeList encodes the objects of one kind.
func encodeList(objects []store.Object) ([]byte, error) {
	l := objectList{Names: make([]string, len(objects)), Versions: make([]uint64, len(objects)), Sizes: make([]int, len(objects))}
	for i, o := range objects {
		l.Names[i], l.Versions[i], l.Sizes[i] = o.Name, o.Version, len(o.Value)
		l.Values = append(l.Values, o.Value...)
	}
	body, err := msgpack.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("relay: a list can't be encoded: %w", err)
	}
	return s2.EncodeBetter(nil, body), nil
}

// decodeList decodes what encodeList returned. The values share one array.
func decodeList(kind string, encoded []byte) ([]store.Object, error) {
	body, err := decompress(encoded)
	if err != nil {
		return nil, err
	}
	var l objectList
	if err := packed.Decode(body, &l); err != nil {
		return nil, fmt.Errorf("relay: a peer's list can't be decoded (%w); bring both hosts to the same release", err)
	}
	if len(l.Versions) != len(l.Names) || len(l.Sizes) != len(l.Names) {
		return nil, errListColumns
	}
	out, values := make([]store.Object, len(l.Names)), l.Values
	for i, size := range l.Sizes {
		if size < 0 || size > len(values) {
			return nil, errListColumns
		}
		out[i] = store.Object{Kind: kind, Name: l.Names[i], Version: l.Versions[i], Value: values[:size:size]}
		values = values[size:]
	}
	return out, nil
}

// listCache keeps the encoded list of each kind, so that it is encoded once for all hosts that fetch it:
// after a restart of the fleet, all of them do.
type listCache struct {
	mu    sync.Mutex
	lists map[string]encodedList
}

// encodedList is the encoded form of a list of objects.
type encodedList struct {
	objects []store.Object
	encoded []byte
}

func newListCache() *listCache { return &listCache{lists: map[string]encodedList{}} }

// encode returns the encoded list of a kind. Lists aren't modified, so the same slice has the same
// content. Concurrent calls wait for the one that encodes.
func (c *listCache) encode(kind string, objects []store.Object) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.lists[kind]; len(l.objects) == len(objects) && &l.objects[0] == &objects[0] {
		return l.encoded, nil
	}
	encoded, err := encodeList(objects)
	if err == nil {
		c.lists[kind] = encodedList{objects, encoded}
	}
	return encoded, err
}

// pack encodes a response whose full copies of many objects are sent as lists.
func (c *listCache) pack(resp fanout.Response) (Packed, error) {
	lists := map[string][]byte{}
	for kind, d := range resp.Changes {
		if !d.Full || len(d.Objects) < minListObjects {
			continue
		}
		encoded, err := c.encode(kind, d.Objects)
		if err != nil {
			return Packed{}, err
		}
		lists[kind] = encoded
		d.Objects = nil
		resp.Changes[kind] = d
	}
	r := encode(resp)
	for kind, encoded := range lists {
		d := r.Changes[kind]
		d.List = encoded
		r.Changes[kind] = d
	}
	if len(lists) == 0 {
		return pack(r)
	}
	body, err := msgpack.Marshal(r) // the lists are compressed already
	return Packed{Plain: body}, err
}
