package wire

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"umberladder/internal/core/ident"
	"umberladder/internal/route/coord"
	"umberladder/internal/route/pick"
)

// Field numbers of a placement request and of its response.
const (
	requestID           = 1
	requestService      = 2
	requestPurpose      = 3
	requestRank         = 4
	requestNeed         = 5
	requestPrefill      = 6
	requestEngineMemory = 7
	requestFrom         = 8
	requestExclude      = 9
	requestBackup       = 10
	requestMaxWait      = 11
	requestTargetWait   = 12
	requestRetryKey     = 13
	requestUnreachable  = 14
	requestSource       = 15
	requestDomain       = 16
	requestColdLimit    = 17
	requestColdTime     = 18
	requestBrief        = 19
	requestVersion      = 20
	requestWorkspace    = 21
	requestSubject      = 22
	requestWeight       = 23

	responseID         = 1
	responseState      = 2
	responseServer     = 3
	responseBackup     = 4
	responseAhead      = 5
	responseRetryAfter = 6
	responseShare      = 7
	responseOwnAhead   = 8
)

func encodePlacementRequest(req *coord.Request) []byte {
	run := &req.Run
	b := appendNumber(nil, requestID, req.ID)
	b = appendString(b, requestService, string(run.Service))
	b = appendNumber(b, requestPurpose, uint64(run.Purpose))
	b = appendNumber(b, requestRank, uint64(run.Rank))
	b = appendNumber(b, requestNeed, uint64(run.Need))
	b = appendNumber(b, requestPrefill, uint64(run.Prefill))
	b = appendNumber(b, requestEngineMemory, uint64(run.EngineMemory))
	b = appendString(b, requestFrom, string(run.From))
	for _, id := range run.Exclude {
		b = appendString(b, requestExclude, string(id))
	}
	for _, id := range run.Unreachable {
		b = appendString(b, requestUnreachable, string(id))
	}
	for _, d := range run.Domains {
		b = appendString(b, requestDomain, string(d))
	}
	if run.ColdLimit > 0 {
		b = appendNumber(b, requestColdLimit, uint64(run.ColdLimit))
		b = appendNumber(b, requestColdTime, uint64(run.ColdTime))
	}
	if run.Source != "" {
		b = appendString(b, requestSource, string(run.Source))
	}
	if run.Version != "" {
		b = appendString(b, requestVersion, string(run.Version))
	}
	if run.Backup {
		b = appendNumber(b, requestBackup, 1)
	}
	if run.Brief {
		b = appendNumber(b, requestBrief, 1)
	}
	if req.ReportsGrants {
		b = appendNumber(b, requestReportsGrants, 1)
	}
	b = appendExpectations(b, run)
	if run.Weight > 0 {
		b = appendString(b, requestWorkspace, string(run.Workspace))
		b = appendFixed(b, requestSubject, run.Subject)
		b = appendNumber(b, requestWeight, uint64(run.Weight))
	}
	b = appendNumber(b, requestTargetWait, uint64(run.TargetWait))
	b = appendNumber(b, requestRetryKey, run.RetryKey)
	return appendNumber(b, requestMaxWait, uint64(run.MaxWait))
}

func decodePlacementRequest(vm ident.VM, b []byte) (*coord.Request, error) {
	req := &coord.Request{VM: vm}
	run := &req.Run
	err := forEachField(b, func(n protowire.Number, data []byte, v uint64) error {
		switch n {
		case requestID:
			req.ID = v
		case requestService:
			run.Service = ident.Service(data)
		case requestFrom:
			run.From = ident.FailureDomain(data)
		case requestExclude:
			run.Exclude = append(run.Exclude, ident.Server(data))
		case requestUnreachable:
			run.Unreachable = append(run.Unreachable, ident.Server(data))
		case requestDomain:
			run.Domains = append(run.Domains, ident.FailureDomain(data))
		case requestWorkspace:
			run.Workspace = ident.Workspace(data)
		case requestVersion:
			run.Version = ident.Version(data)
		case requestReportsGrants:
			req.ReportsGrants = v != 0
		case requestSource:
			run.Source = ident.Server(data)
		default:
			setRunNumber(run, n, v)
		}
		return nil
	})
	return req, err
}

// setRunNumber sets one numeric field of a placement request's run.
func setRunNumber(run *pick.Request, n protowire.Number, v uint64) {
	switch n {
	case requestPurpose:
		run.Purpose = pick.Purpose(min(v, math.MaxUint8))
	case requestRank:
		run.Rank = int(v)
	case requestNeed:
		run.Need = int(v)
	case requestPrefill:
		run.Prefill = int(v)
	case requestEngineMemory:
		run.EngineMemory = int(v)
	case requestBackup:
		run.Backup = v != 0
	case requestBrief:
		run.Brief = v != 0
	case requestColdLimit:
		run.ColdLimit = int(min(v, math.MaxInt32))
	case requestColdTime:
		run.ColdTime = time.Duration(v)
	case requestRetryKey:
		run.RetryKey = v
	case requestSubject:
		run.Subject = v
	case requestWeight:
		run.Weight = int(min(v, math.MaxInt32))
	case requestTargetWait:
		run.TargetWait = time.Duration(v)
	case requestMaxWait:
		run.MaxWait = time.Duration(v)
	default:
		setExpectation(run, n, v)
	}
}

func encodePlacementResponse(resp *coord.Response) []byte {
	b := appendNumber(nil, responseID, resp.ID)
	b = appendNumber(b, responseState, uint64(resp.State))
	if resp.Server != "" {
		b = appendString(b, responseServer, string(resp.Server))
	}
	if resp.Backup != "" {
		b = appendString(b, responseBackup, string(resp.Backup))
	}
	b = appendNumber(b, responseAhead, uint64(resp.Ahead))
	if resp.Share > 0 {
		b = appendNumber(b, responseShare, uint64(resp.Share))
	}
	if resp.OwnAhead > 0 {
		b = appendNumber(b, responseOwnAhead, uint64(resp.OwnAhead))
	}
	return appendNumber(b, responseRetryAfter, uint64(resp.RetryAfter))
}

func decodePlacementResponse(b []byte) (*coord.Response, error) {
	resp := &coord.Response{}
	err := forEachField(b, func(n protowire.Number, data []byte, v uint64) error {
		switch n {
		case responseID:
			resp.ID = v
		case responseState:
			resp.State = coord.State(min(v, math.MaxUint8))
		case responseServer:
			resp.Server = ident.Server(data)
		case responseBackup:
			resp.Backup = ident.Server(data)
		case responseAhead:
			resp.Ahead = int(v)
		case responseShare:
			resp.Share = int(v)
		case responseOwnAhead:
			resp.OwnAhead = int(v)
		case responseRetryAfter:
			resp.RetryAfter = time.Duration(v)
		}
		return nil
	})
	return resp, err
}
