package nodes

import (
	"context"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/proto"
	"umberladder/internal/route/limits"
	"umberladder/internal/state/config"
	"umberladder/internal/state/member"
	"umberladder/internal/state/shards"
	"umberladder/internal/state/term"
)

// Claimer manages claims on idempotency keys for other VMs, and accepts shards
// that they hand over.
type Claimer interface {
	Claim(shard int, key string, created time.Time, fingerprint [32]byte, r ident.Request) (term.Decision, *proto.Answer)
	Finish(shard int, key string, r ident.Request, ran bool, response *proto.Answer)
	Accept(ctx context.Context, shard int, revision uint64, start time.Time, claims []*proto.Claim) (bool, error)
}

// DocumentSource provides the settings documents that other VMs lack.
type DocumentSource interface {
	DocumentsAfter(after uint64) (docs []config.Document, upTo uint64)
}

// Coordinator places generations on engines for other VMs and keeps their
// reservations. It serves the calls Seat, which request a reservation, and News,
// which report the state of generations with a reservation.
type Coordinator interface {
	Reserve(ctx context.Context, req *proto.SeatAsk) *proto.SeatReply
	HandleUpdates(update *proto.SeatNews)
}

// Reporter provides this VM's report on the burn rate of service-level
// objectives, and a workspace's usage at this VM.
type Reporter interface {
	Report() []byte
	Usage(w ident.Workspace) (limits.Usage, bool)
}

// Server serves other VMs' calls. It implements proto.Nodes.
type Server struct {
	docs        DocumentSource
	claims      Claimer
	coordinator Coordinator
	reporter    Reporter
}

// NewServer returns a server that passes calls on to the given components.
func NewServer(d DocumentSource, c Claimer, coord Coordinator, r Reporter) *Server {
	return &Server{docs: d, claims: c, coordinator: coord, reporter: r}
}

// Pull implements proto.Nodes.
func (s *Server) Pull(_ context.Context, r *proto.PullRequest) (*proto.PullReply, error) {
	docs, upTo := s.docs.DocumentsAfter(r.GetRevision())
	reply := &proto.PullReply{Revision: upTo}
	for _, d := range docs {
		reply.Documents = append(reply.Documents, &proto.Document{Path: d.Path, Version: d.Version, Body: d.Body})
	}
	return reply, nil
}

// Claim implements proto.Nodes.
func (s *Server) Claim(_ context.Context, r *proto.ClaimRequest) (*proto.ClaimReply, error) {
	slash := strings.LastIndexByte(r.GetKey(), '/')
	created, ok := ident.UUIDTime(r.GetKey()[slash+1:])
	if !ok || r.GetShard() >= shards.Count || len(r.GetFingerprint()) != 32 {
		return nil, twirp.NewError(twirp.InvalidArgument, "not a claim")
	}
	v, response := s.claims.Claim(int(r.GetShard()), r.GetKey(), created, [32]byte(r.GetFingerprint()), ident.Request(r.GetRequest()))
	return &proto.ClaimReply{Verdict: uint32(v), Answer: response}, nil
}

// Finish implements proto.Nodes.
func (s *Server) Finish(_ context.Context, r *proto.FinishRequest) (*proto.FinishReply, error) {
	s.claims.Finish(int(r.GetShard()), r.GetKey(), ident.Request(r.GetRequest()), r.GetRan(), r.GetAnswer())
	return &proto.FinishReply{}, nil
}

// Handover implements proto.Nodes.
func (s *Server) Handover(ctx context.Context, r *proto.HandoverRequest) (*proto.HandoverReply, error) {
	accepted, err := s.claims.Accept(ctx, int(r.GetShard()), r.GetRevision(), time.UnixMilli(r.GetTermStartMs()), r.GetClaims())
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "the shard is not taken")
	}
	return &proto.HandoverReply{Taken: accepted}, nil
}

// Burn implements proto.Nodes.
func (s *Server) Burn(context.Context, *proto.BurnRequest) (*proto.BurnReply, error) {
	return &proto.BurnReply{Report: s.reporter.Report()}, nil
}

// Usage implements proto.Nodes.
func (s *Server) Usage(_ context.Context, r *proto.UsageRequest) (*proto.UsageReply, error) {
	u, ok := s.reporter.Usage(ident.Workspace(r.GetWorkspace()))
	if !ok {
		return nil, twirp.NewError(twirp.NotFound, "no such workspace")
	}
	return &proto.UsageReply{
		Open:            uint32(u.Open),
		OpenShare:       uint32(u.OpenShare),
		TokensLeft:      u.TokensLeft,
		RateShare:       uint32(u.RateShare),
		SettingsVersion: u.Version,
	}, nil
}

// Seat implements proto.Nodes.
func (s *Server) Seat(ctx context.Context, r *proto.SeatAsk) (*proto.SeatReply, error) {
	return s.coordinator.Reserve(ctx, r), nil
}

// News implements proto.Nodes.
func (s *Server) News(_ context.Context, r *proto.SeatNews) (*proto.SeatNewsReply, error) {
	s.coordinator.HandleUpdates(r)
	return &proto.SeatNewsReply{}, nil
}

// Client calls other VMs.
type Client struct {
	pool *ClientPool
}

// NewClient returns a client that uses the connections of pool.
func NewClient(pool *ClientPool) *Client { return &Client{pool: pool} }

// Pull fetches the documents of another VM that are newer than a revision, and
// returns them with the revision up to which they are complete.
func (c *Client) Pull(ctx context.Context, from member.Member, after uint64) ([]config.Document, uint64, error) {
	reply, err := c.pool.Get(from.Address).Pull(ctx, &proto.PullRequest{Revision: after})
	if err != nil {
		return nil, 0, callError(from, err)
	}
	out := make([]config.Document, 0, len(reply.GetDocuments()))
	for _, d := range reply.GetDocuments() {
		out = append(out, config.Document{Path: d.GetPath(), Version: d.GetVersion(), Body: d.GetBody()})
	}
	return out, reply.GetRevision(), nil
}

// Claim requests a claim on an idempotency key from the holder of its shard.
func (c *Client) Claim(ctx context.Context, to member.Member, shard int, key string, fingerprint [32]byte, r ident.Request) (term.Decision, *proto.Answer, error) {
	reply, err := c.pool.Get(to.Address).Claim(ctx, &proto.ClaimRequest{
		Shard:       uint32(shard),
		Key:         key,
		Fingerprint: fingerprint[:],
		Request:     string(r),
	})
	if err != nil {
		return term.NotHolder, nil, callError(to, err)
	}
	return term.Decision(reply.GetVerdict()), reply.GetAnswer(), nil
}

// Finish reports the end of a request to the holder of its key's shard.
func (c *Client) Finish(ctx context.Context, to member.Member, shard int, key string, r ident.Request, ran bool, response *proto.Answer) error {
	_, err := c.pool.Get(to.Address).Finish(ctx, &proto.FinishRequest{
		Shard:   uint32(shard),
		Key:     key,
		Request: string(r),
		Ran:     ran,
		Answer:  response,
	})
	return callError(to, err)
}

// Handover hands a shard's term over to its next holder, and reports whether
// the holder accepted it.
func (c *Client) Handover(ctx context.Context, to member.Member, shard int, revision uint64, start time.Time, claims []*proto.Claim) (bool, error) {
	reply, err := c.pool.Get(to.Address).Handover(ctx, &proto.HandoverRequest{
		Shard:       uint32(shard),
		Revision:    revision,
		TermStartMs: start.UnixMilli(),
		Claims:      claims,
	})
	if err != nil {
		return false, callError(to, err)
	}
	return reply.GetTaken(), nil
}

// Burn fetches another VM's report on the burn rate of service-level
// objectives.
func (c *Client) Burn(ctx context.Context, from member.Member) ([]byte, error) {
	reply, err := c.pool.Get(from.Address).Burn(ctx, &proto.BurnRequest{})
	if err != nil {
		return nil, callError(from, err)
	}
	return reply.GetReport(), nil
}

// Usage fetches a workspace's usage at another VM.
func (c *Client) Usage(ctx context.Context, from member.Member, w ident.Workspace) (limits.Usage, error) {
	reply, err := c.pool.Get(from.Address).Usage(ctx, &proto.UsageRequest{Workspace: string(w)})
	if err != nil {
		return limits.Usage{}, callError(from, err)
	}
	return limits.Usage{
		Open:       int(reply.GetOpen()),
		OpenShare:  int(reply.GetOpenShare()),
		TokensLeft: reply.GetTokensLeft(),
		RateShare:  int(reply.GetRateShare()),
		Version:    reply.GetSettingsVersion(),
	}, nil
}

// Reserve requests a reservation from a model's coordinator.
func (c *Client) Reserve(ctx context.Context, to member.Member, req *proto.SeatAsk) (*proto.SeatReply, error) {
	reply, err := c.pool.Get(to.Address).Seat(ctx, req)
	return reply, callError(to, err)
}

// SendUpdates reports the state of generations with a reservation to a model's
// coordinator.
func (c *Client) SendUpdates(ctx context.Context, to member.Member, update *proto.SeatNews) error {
	_, err := c.pool.Get(to.Address).News(ctx, update)
	return callError(to, err)
}
