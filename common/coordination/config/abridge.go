package config

import (
	"slices"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

// refsPerGroup is the number of chunk references that share one digest in a head
// request.
const refsPerGroup = 32

// HeadRequest returns the request by which a process that has revision r, which may be nil,
// gets the latest head. It contains one digest per group of chunk references, so that the
// response can leave out the groups that have not changed.
func (r *Revision) HeadRequest() *controlv1.GetHeadRequest {
	if r == nil {
		return &controlv1.GetHeadRequest{}
	}
	request := &controlv1.GetHeadRequest{KnownRevision: r.Number()}
	for group := range slices.Chunk(r.Head.GetChunks(), refsPerGroup) {
		request.GroupDigests = append(request.GroupDigests, groupDigest(group))
	}
	return request
}

// HeadResponse returns the response to a head request. It contains only the history entries
// that are later than the known revision and the groups of chunk references whose digests
// differ, or the whole head if the request has no digests.
func (r *Revision) HeadResponse(request *controlv1.GetHeadRequest) *controlv1.GetHeadResponse {
	if len(request.GetGroupDigests()) == 0 {
		return &controlv1.GetHeadResponse{Head: r.Head}
	}
	response := &controlv1.GetHeadResponse{
		Abridged: true,
		Head: &controlv1.Head{
			Revision: r.Head.GetRevision(), ConfigVersion: r.Head.GetConfigVersion(), Digest: r.Head.GetDigest(),
			Accepted: r.Head.GetAccepted(), StoreEra: r.Head.GetStoreEra(),
		},
	}
	for _, a := range r.Head.GetHistory() {
		if a.GetRevision() > request.GetKnownRevision() {
			response.Head.History = append(response.Head.History, a)
		}
	}
	known := request.GetGroupDigests()
	for group := range slices.Chunk(r.Head.GetChunks(), refsPerGroup) {
		i := int(response.GroupCount)
		if i >= len(known) || groupDigest(group) != known[i] {
			response.Groups = append(response.Groups, &controlv1.ChunkGroup{Index: uint32(i), Chunks: group})
		}
		response.GroupCount++
	}
	return response
}

// RestoreHead rebuilds the whole head from the response to r.HeadRequest. It returns an
// error if the rebuilt chunk references don't match the head's digest, for example because
// the response belongs to a request with another known revision. A head that is not abridged
// is returned without this check.
func (r *Revision) RestoreHead(response *controlv1.GetHeadResponse) (*controlv1.Head, error) {
	if !response.GetAbridged() {
		return response.GetHead(), nil
	}
	if r == nil {
		return nil, Error.New("abridged head of revision %d needs a known revision", response.GetHead().GetRevision())
	}
	head := proto.CloneOf(response.GetHead())
	head.Chunks = r.restoreChunks(response)
	head.History = append(head.History, r.historyBefore(head)...)
	head.History = head.History[:min(len(head.History), historyLength)]
	if !slices.Equal(head.GetDigest(), digestOf(head.GetChunks())) {
		return nil, Error.New("abridged head of revision %d does not match revision %d", head.GetRevision(), r.Number())
	}
	return head, nil
}

// restoreChunks returns the chunk references of an abridged response. Groups that were
// left out because they are unchanged are taken from revision r.
func (r *Revision) restoreChunks(response *controlv1.GetHeadResponse) []*controlv1.ChunkRef {
	own := slices.Collect(slices.Chunk(r.Head.GetChunks(), refsPerGroup))
	differing := make(map[uint32][]*controlv1.ChunkRef, len(response.GetGroups()))
	for _, g := range response.GetGroups() {
		differing[g.GetIndex()] = g.GetChunks()
	}
	var chunks []*controlv1.ChunkRef
	for i := range response.GetGroupCount() {
		group, differs := differing[i]
		if !differs && int(i) < len(own) {
			group = own[i]
		}
		chunks = append(chunks, group...)
	}
	return chunks
}

// historyBefore returns the history entries that an abridged head left out because r
// has them, latest first. They include r's own entry only if the head is later than r.
func (r *Revision) historyBefore(head *controlv1.Head) []*controlv1.Accepted {
	if !r.Order().Before(OrderOf(head)) {
		return r.Head.GetHistory()
	}
	return append([]*controlv1.Accepted{r.Head.GetAccepted()}, r.Head.GetHistory()...)
}

func groupDigest(group []*controlv1.ChunkRef) uint64 { return xxh3.Hash(digestOf(group)) }
