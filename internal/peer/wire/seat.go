package wire

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"umberladder/internal/core/ident"
	"umberladder/internal/route/homes"
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

	responseID         = 1
	responseState      = 2
	responseServer     = 3
	responseBackup     = 4
	responseAhead      = 5
	responseRetryAfter = 6
)

func encodePlacementRequest(req *homes.Ask) []byte {
	w := &req.Want
	b := appendNumber(nil, requestID, req.Number)
	b = appendString(b, requestService, string(w.Service))
	b = appendNumber(b, requestPurpose, uint64(w.Use))
	b = appendNumber(b, requestRank, uint64(w.Rank))
	b = appendNumber(b, requestNeed, uint64(w.Need))
	b = appendNumber(b, requestPrefill, uint64(w.Read))
	b = appendNumber(b, requestEngineMemory, uint64(w.Memory))
	b = appendString(b, requestFrom, string(w.From))
	for _, id := range w.Skip {
		b = appendString(b, requestExclude, string(id))
	}
	for _, id := range w.Failed {
		b = appendString(b, requestUnreachable, string(id))
	}
	if w.Source != "" {
		b = appendString(b, requestSource, string(w.Source))
	}
	if w.Backup {
		b = appendNumber(b, requestBackup, 1)
	}
	b = appendNumber(b, requestTargetWait, uint64(w.Due))
	b = appendNumber(b, requestRetryKey, w.Mark)
	return appendNumber(b, requestMaxWait, uint64(w.Wait))
}

func decodePlacementRequest(vm ident.VM, b []byte) (*homes.Ask, error) {
	req := &homes.Ask{VM: vm}
	w := &req.Want
	err := forEachField(b, func(n protowire.Number, data []byte, v uint64) error {
		switch n {
		case requestID:
			req.Number = v
		case requestService:
			w.Service = ident.Service(data)
		case requestPurpose:
			w.Use = pick.Use(min(v, math.MaxUint8))
		case requestRank:
			w.Rank = int(v)
		case requestNeed:
			w.Need = int(v)
		case requestPrefill:
			w.Read = int(v)
		case requestEngineMemory:
			w.Memory = int(v)
		case requestFrom:
			w.From = ident.Domain(data)
		case requestExclude:
			w.Skip = append(w.Skip, ident.Server(data))
		case requestUnreachable:
			w.Failed = append(w.Failed, ident.Server(data))
		case requestSource:
			w.Source = ident.Server(data)
		case requestBackup:
			w.Backup = v != 0
		case requestRetryKey:
			w.Mark = v
		case requestTargetWait:
			w.Due = time.Duration(v)
		case requestMaxWait:
			w.Wait = time.Duration(v)
		}
		return nil
	})
	return req, err
}

func encodePlacementResponse(resp *homes.Answer) []byte {
	b := appendNumber(nil, responseID, resp.Number)
	b = appendNumber(b, responseState, uint64(resp.State))
	if resp.Server != "" {
		b = appendString(b, responseServer, string(resp.Server))
	}
	if resp.Backup != "" {
		b = appendString(b, responseBackup, string(resp.Backup))
	}
	b = appendNumber(b, responseAhead, uint64(resp.Ahead))
	return appendNumber(b, responseRetryAfter, uint64(resp.Retry))
}

func decodePlacementResponse(b []byte) (*homes.Answer, error) {
	resp := &homes.Answer{}
	err := forEachField(b, func(n protowire.Number, data []byte, v uint64) error {
		switch n {
		case responseID:
			resp.Number = v
		case responseState:
			resp.State = homes.State(min(v, math.MaxUint8))
		case responseServer:
			resp.Server = ident.Server(data)
		case responseBackup:
			resp.Backup = ident.Server(data)
		case responseAhead:
			resp.Ahead = int(v)
		case responseRetryAfter:
			resp.Retry = time.Duration(v)
		}
		return nil
	})
	return resp, err
}
