package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

const (
	// itemsPerChunk is the average number of services or routes per chunk above which
	// the number of chunks doubles.
	itemsPerChunk   = 32
	deploymentChunk = "deployment"
	servicesChunk   = "services"
	routesChunk     = "routes"
)

type (
	// Chunk is an immutable part of a configuration. It is stored under the SHA-256
	// digest of its content.
	Chunk struct {
		Name   string
		Digest [sha256.Size]byte
		Value  []byte
	}

	// Revision is an accepted configuration with the head and chunks that it was
	// assembled from. A nil *Revision stands for none: it has number 0 and no chunks.
	Revision struct {
		Head   *controlv1.Head
		Config Config
		chunks map[string]Chunk
	}

	deploymentPart struct {
		Deployment Deployment `json:"deployment"`
		Domains    []Domain   `json:"domains"`
		Drained    []string   `json:"drained"`
	}

	servicesPart struct {
		Services []Service `json:"services"`
	}

	routesPart struct {
		Routes []Route `json:"routes"`
	}
)

// Key returns the hexadecimal form of the chunk's digest.
func (c Chunk) Key() string { return hex.EncodeToString(c.Digest[:]) }

// Split encodes the configuration as chunks. Services and routes are assigned to chunks
// by a hash of their names, so a change to one of them changes only one chunk, unless the
// number of chunks changes.
func Split(c Config) ([]Chunk, error) {
	c = c.sorted()
	first, err := encodeChunk(deploymentChunk, deploymentPart{c.Deployment, c.Domains, c.Drained})
	if err != nil {
		return nil, err
	}
	services, err := splitItems(servicesChunk, c.Services,
		func(s Service) string { return s.Name }, func(part []Service) any { return servicesPart{part} })
	if err != nil {
		return nil, err
	}
	chunks := append([]Chunk{first}, services...)
	if len(c.Routes) == 0 {
		return chunks, nil
	}
	routes, err := splitItems(routesChunk, c.Routes,
		func(r Route) string { return r.Name }, func(part []Route) any { return routesPart{part} })
	return append(chunks, routes...), err
}

// splitItems distributes a list's items over chunks by a hash of their names. The number
// of chunks is a power of two.
func splitItems[T any](chunk string, items []T, nameOf func(T) string, encode func([]T) any) ([]Chunk, error) {
	n := 1
	for n*itemsPerChunk < len(items) {
		n *= 2
	}
	parts := make([][]T, n)
	for _, item := range items {
		i := xxh3.HashString(nameOf(item)) % uint64(n)
		parts[i] = append(parts[i], item)
	}
	chunks := make([]Chunk, 0, n)
	for i, part := range parts {
		c, err := encodeChunk(fmt.Sprintf("%s/%d", chunk, i), encode(part))
		if err != nil {
			return nil, err
		}
		chunks = append(chunks, c)
	}
	return chunks, nil
}

// NewHead returns a head that references the chunks and follows the head base, which is
// nil for the first revision.
func NewHead(base *controlv1.Head, chunks []Chunk, accepted *controlv1.Accepted) *controlv1.Head {
	head := NewHeadAt(Order{Number: base.GetRevision() + 1}, chunks, accepted)
	if base.GetAccepted() != nil {
		head.History = append(head.History, base.GetAccepted())
	}
	head.History = append(head.History, base.GetHistory()...)
	if len(head.History) > historyLength {
		head.History = head.History[:historyLength]
	}
	return head
}

// NewHeadAt returns a head that references the chunks and has the order. It has no history.
func NewHeadAt(o Order, chunks []Chunk, accepted *controlv1.Accepted) *controlv1.Head {
	head := &controlv1.Head{
		Revision: o.Number, ConfigVersion: o.Version, Accepted: proto.CloneOf(accepted),
	}
	head.Accepted.Revision = head.Revision
	for _, c := range chunks {
		head.Chunks = append(head.Chunks, &controlv1.ChunkRef{Name: c.Name, Digest: c.Digest[:]})
	}
	head.Digest = digestOf(head.GetChunks())
	return head
}

// Assemble verifies the chunk contents against the digests in the head and returns the
// revision. Contents may come in any order; those that the head doesn't reference are
// ignored.
func Assemble(head *controlv1.Head, values [][]byte) (*Revision, error) {
	if !bytes.Equal(head.GetDigest(), digestOf(head.GetChunks())) {
		return nil, Error.New("head of revision %d has a wrong digest", head.GetRevision())
	}
	byDigest := make(map[[sha256.Size]byte][]byte, len(values))
	for _, v := range values {
		byDigest[sha256.Sum256(v)] = v
	}
	r := &Revision{Head: head, chunks: make(map[string]Chunk, len(head.GetChunks()))}
	for _, ref := range head.GetChunks() {
		chunk := Chunk{Name: ref.GetName()}
		copy(chunk.Digest[:], ref.GetDigest())
		value, ok := byDigest[chunk.Digest]
		if !ok {
			return nil, Error.New("revision %d lacks chunk %s", head.GetRevision(), ref.GetName())
		}
		chunk.Value = value
		r.chunks[chunk.Key()] = chunk
		if err := r.decodeChunk(chunk); err != nil {
			return nil, err
		}
	}
	r.Config = r.Config.sorted()
	return r, nil
}

// Number returns the revision's number, which orders the revisions of arbutusfront's own store; a
// nil Revision has number zero. Use Order where another system may write the configuration.
func (r *Revision) Number() uint64 {
	if r == nil {
		return 0
	}
	return r.Head.GetRevision()
}

// Chunk returns the chunk with the given digest, if the revision contains it.
func (r *Revision) Chunk(digest []byte) (Chunk, bool) {
	if r == nil {
		return Chunk{}, false
	}
	c, ok := r.chunks[hex.EncodeToString(digest)]
	return c, ok
}

// Chunks returns all chunks, in no particular order; a nil Revision has none.
func (r *Revision) Chunks() []Chunk {
	if r == nil {
		return nil
	}
	return slices.Collect(maps.Values(r.chunks))
}

// Values returns the contents of all chunks.
func (r *Revision) Values() [][]byte {
	values := make([][]byte, 0, len(r.chunks))
	for _, c := range r.chunks {
		values = append(values, c.Value)
	}
	return values
}

// Missing returns the digests of the chunks that the head references and r doesn't contain.
func (r *Revision) Missing(head *controlv1.Head) [][]byte {
	var missing [][]byte
	for _, ref := range head.GetChunks() {
		if _, ok := r.Chunk(ref.GetDigest()); !ok {
			missing = append(missing, ref.GetDigest())
		}
	}
	return missing
}

// decodeChunk adds the content of a chunk to the revision's configuration.
func (r *Revision) decodeChunk(c Chunk) error {
	if c.Name == deploymentChunk {
		var part deploymentPart
		if err := json.Unmarshal(c.Value, &part); err != nil {
			return Error.Wrap(err)
		}
		r.Config.Deployment, r.Config.Domains = part.Deployment, part.Domains
		r.Config.Drained = append(r.Config.Drained, part.Drained...)
		return nil
	}
	if strings.HasPrefix(c.Name, routesChunk+"/") {
		var part routesPart
		if err := json.Unmarshal(c.Value, &part); err != nil {
			return Error.Wrap(err)
		}
		r.Config.Routes = append(r.Config.Routes, part.Routes...)
		return nil
	}
	var part servicesPart
	if err := json.Unmarshal(c.Value, &part); err != nil {
		return Error.Wrap(err)
	}
	r.Config.Services = append(r.Config.Services, part.Services...)
	return nil
}

func encodeChunk(name string, v any) (Chunk, error) {
	b, err := json.Marshal(v, json.Deterministic(true))
	if err != nil {
		return Chunk{}, Error.Wrap(err)
	}
	return Chunk{Name: name, Digest: sha256.Sum256(b), Value: b}, nil
}

// digestOf returns the digest of a list of chunk references, which depends on their order.
func digestOf(refs []*controlv1.ChunkRef) []byte {
	h := sha256.New()
	for _, ref := range refs {
		h.Write([]byte(ref.GetName()))
		h.Write([]byte{0})
		h.Write(ref.GetDigest())
	}
	return h.Sum(nil)
}
