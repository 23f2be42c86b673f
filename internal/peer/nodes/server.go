package nodes

import (
	"context"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/proto"
	"umberladder/internal/route/gate"
	"umberladder/internal/state/config"
	"umberladder/internal/state/keeper"
	"umberladder/internal/state/member"
	"umberladder/internal/state/term"
)

// Claimer keeps claims for other VMs.
type Claimer interface {
	Claim(shard int, key string, minted time.Time, sum [32]byte, r ident.Request) (term.Verdict, *proto.Answer)
	Finish(shard int, key string, r ident.Request, ran bool, answer *proto.Answer)
	Accept(ctx context.Context, shard int, revision uint64, start time.Time, claims []*proto.Claim) (bool, error)
}

// Documents gives other VMs the settings they lack.
type Documents interface {
	Newer(after uint64) (docs []config.Document, upTo uint64)
}

// Seater finds and keeps places on engines for other VMs.
type Seater interface {
	Seat(ctx context.Context, ask *proto.SeatAsk) *proto.SeatReply
	News(news *proto.SeatNews)
}

// Reporter gives other VMs this VM's report on service-level burn, and what a
// workspace uses here.
type Reporter interface {
	Report() []byte
	Usage(w ident.Workspace) (gate.Usage, bool)
}

// Server answers other VMs' calls. It implements proto.Nodes.
type Server struct {
	docs   Documents
	claims Claimer
	seats  Seater
	report Reporter
}

// NewServer makes a server over this VM's parts.
func NewServer(d Documents, c Claimer, s Seater, r Reporter) *Server {
	return &Server{docs: d, claims: c, seats: s, report: r}
}

// Pull implements proto.Nodes.
func (s *Server) Pull(_ context.Context, r *proto.PullRequest) (*proto.PullReply, error) {
	docs, upTo := s.docs.Newer(r.GetRevision())
	reply := &proto.PullReply{Revision: upTo}
	for _, d := range docs {
		reply.Documents = append(reply.Documents, &proto.Document{Path: d.Path, Version: d.Version, Body: d.Body})
	}
	return reply, nil
}

// Claim implements proto.Nodes.
func (s *Server) Claim(_ context.Context, r *proto.ClaimRequest) (*proto.ClaimReply, error) {
	at := strings.LastIndexByte(r.GetKey(), '/')
	minted, ok := ident.Minted(r.GetKey()[at+1:])
	if !ok || r.GetShard() >= keeper.Shards || len(r.GetFingerprint()) != 32 {
		return nil, twirp.NewError(twirp.InvalidArgument, "not a claim")
	}
	v, answer := s.claims.Claim(int(r.GetShard()), r.GetKey(), minted, [32]byte(r.GetFingerprint()), ident.Request(r.GetRequest()))
	return &proto.ClaimReply{Verdict: uint32(v), Answer: answer}, nil
}

// Finish implements proto.Nodes.
func (s *Server) Finish(_ context.Context, r *proto.FinishRequest) (*proto.FinishReply, error) {
	s.claims.Finish(int(r.GetShard()), r.GetKey(), ident.Request(r.GetRequest()), r.GetRan(), r.GetAnswer())
	return &proto.FinishReply{}, nil
}

// Handover implements proto.Nodes.
func (s *Server) Handover(ctx context.Context, r *proto.HandoverRequest) (*proto.HandoverReply, error) {
	taken, err := s.claims.Accept(ctx, int(r.GetShard()), r.GetRevision(), time.UnixMilli(r.GetTermStartMs()), r.GetClaims())
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "the shard is not taken")
	}
	return &proto.HandoverReply{Taken: taken}, nil
}

// Burn implements proto.Nodes.
func (s *Server) Burn(context.Context, *proto.BurnRequest) (*proto.BurnReply, error) {
	return &proto.BurnReply{Report: s.report.Report()}, nil
}

// Usage implements proto.Nodes.
func (s *Server) Usage(_ context.Context, r *proto.UsageRequest) (*proto.UsageReply, error) {
	u, ok := s.report.Usage(ident.Workspace(r.GetWorkspace()))
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
	return s.seats.Seat(ctx, r), nil
}

// News implements proto.Nodes.
func (s *Server) News(_ context.Context, r *proto.SeatNews) (*proto.SeatNewsReply, error) {
	s.seats.News(r)
	return &proto.SeatNewsReply{}, nil
}

// Peers calls other VMs.
type Peers struct {
	clients *Clients
}

// NewPeers makes the caller's side.
func NewPeers(c *Clients) *Peers { return &Peers{clients: c} }

// Pull fetches the documents that another VM has and that are newer than a
// revision, and the revision up to which these are all.
func (p *Peers) Pull(ctx context.Context, from member.Member, after uint64) ([]config.Document, uint64, error) {
	reply, err := p.clients.To(from.Address).Pull(ctx, &proto.PullRequest{Revision: after})
	if err != nil {
		return nil, 0, failed(from, err)
	}
	out := make([]config.Document, 0, len(reply.GetDocuments()))
	for _, d := range reply.GetDocuments() {
		out = append(out, config.Document{Path: d.GetPath(), Version: d.GetVersion(), Body: d.GetBody()})
	}
	return out, reply.GetRevision(), nil
}

// Claim asks the holder of a shard.
func (p *Peers) Claim(ctx context.Context, to member.Member, shard int, key string, sum [32]byte, r ident.Request) (term.Verdict, *proto.Answer, error) {
	reply, err := p.clients.To(to.Address).Claim(ctx, &proto.ClaimRequest{
		Shard:       uint32(shard),
		Key:         key,
		Fingerprint: sum[:],
		Request:     string(r),
	})
	if err != nil {
		return term.NotHolder, nil, failed(to, err)
	}
	return term.Verdict(reply.GetVerdict()), reply.GetAnswer(), nil
}

// Finish tells the holder of a shard the end of a request.
func (p *Peers) Finish(ctx context.Context, to member.Member, shard int, key string, r ident.Request, ran bool, answer *proto.Answer) error {
	_, err := p.clients.To(to.Address).Finish(ctx, &proto.FinishRequest{
		Shard:   uint32(shard),
		Key:     key,
		Request: string(r),
		Ran:     ran,
		Answer:  answer,
	})
	return failed(to, err)
}

// Handover hands a shard's term to its next holder.
func (p *Peers) Handover(ctx context.Context, to member.Member, shard int, revision uint64, start time.Time, claims []*proto.Claim) (bool, error) {
	reply, err := p.clients.To(to.Address).Handover(ctx, &proto.HandoverRequest{
		Shard:       uint32(shard),
		Revision:    revision,
		TermStartMs: start.UnixMilli(),
		Claims:      claims,
	})
	if err != nil {
		return false, failed(to, err)
	}
	return reply.GetTaken(), nil
}

// Burn fetches another VM's report on service-level burn.
func (p *Peers) Burn(ctx context.Context, from member.Member) ([]byte, error) {
	reply, err := p.clients.To(from.Address).Burn(ctx, &proto.BurnRequest{})
	if err != nil {
		return nil, failed(from, err)
	}
	return reply.GetReport(), nil
}

// Usage asks what a workspace uses on another VM.
func (p *Peers) Usage(ctx context.Context, from member.Member, w ident.Workspace) (gate.Usage, error) {
	reply, err := p.clients.To(from.Address).Usage(ctx, &proto.UsageRequest{Workspace: string(w)})
	if err != nil {
		return gate.Usage{}, failed(from, err)
	}
	return gate.Usage{
		Open:       int(reply.GetOpen()),
		OpenShare:  int(reply.GetOpenShare()),
		TokensLeft: reply.GetTokensLeft(),
		RateShare:  int(reply.GetRateShare()),
		Version:    reply.GetSettingsVersion(),
	}, nil
}

// Seat asks a model's home for a place.
func (p *Peers) Seat(ctx context.Context, to member.Member, ask *proto.SeatAsk) (*proto.SeatReply, error) {
	reply, err := p.clients.To(to.Address).Seat(ctx, ask)
	return reply, failed(to, err)
}

// News tells a model's home how seated generations are.
func (p *Peers) News(ctx context.Context, to member.Member, news *proto.SeatNews) error {
	_, err := p.clients.To(to.Address).News(ctx, news)
	return failed(to, err)
}
