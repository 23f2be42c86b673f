package wire

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"umberladder/internal/core/ident"
	"umberladder/internal/route/homes"
	"umberladder/internal/route/pick"
)

// Field numbers of an ask for room and of its answer.
const (
	seatNumber  = 1
	seatService = 2
	seatUse     = 3
	seatRank    = 4
	seatNeed    = 5
	seatRead    = 6
	seatMemory  = 7
	seatFrom    = 8
	seatSkip    = 9
	seatBackup  = 10
	seatWait    = 11
	seatDue     = 12
	seatMark    = 13
	seatFailed  = 14
	seatSource  = 15

	answerNumber = 1
	answerState  = 2
	answerServer = 3
	answerBackup = 4
	answerAhead  = 5
	answerRetry  = 6
)

func encodeSeat(a *homes.Ask) []byte {
	w := &a.Want
	b := appendNumber(nil, seatNumber, a.Number)
	b = appendString(b, seatService, string(w.Service))
	b = appendNumber(b, seatUse, uint64(w.Use))
	b = appendNumber(b, seatRank, uint64(w.Rank))
	b = appendNumber(b, seatNeed, uint64(w.Need))
	b = appendNumber(b, seatRead, uint64(w.Read))
	b = appendNumber(b, seatMemory, uint64(w.Memory))
	b = appendString(b, seatFrom, string(w.From))
	for _, id := range w.Skip {
		b = appendString(b, seatSkip, string(id))
	}
	for _, id := range w.Failed {
		b = appendString(b, seatFailed, string(id))
	}
	if w.Source != "" {
		b = appendString(b, seatSource, string(w.Source))
	}
	if w.Backup {
		b = appendNumber(b, seatBackup, 1)
	}
	b = appendNumber(b, seatDue, uint64(w.Due))
	b = appendNumber(b, seatMark, w.Mark)
	return appendNumber(b, seatWait, uint64(w.Wait))
}

func decodeSeat(vm ident.VM, b []byte) (*homes.Ask, error) {
	a := &homes.Ask{VM: vm}
	w := &a.Want
	err := fields(b, func(n protowire.Number, text []byte, v uint64) error {
		switch n {
		case seatNumber:
			a.Number = v
		case seatService:
			w.Service = ident.Service(text)
		case seatUse:
			w.Use = pick.Use(min(v, math.MaxUint8))
		case seatRank:
			w.Rank = int(v)
		case seatNeed:
			w.Need = int(v)
		case seatRead:
			w.Read = int(v)
		case seatMemory:
			w.Memory = int(v)
		case seatFrom:
			w.From = ident.Domain(text)
		case seatSkip:
			w.Skip = append(w.Skip, ident.Server(text))
		case seatFailed:
			w.Failed = append(w.Failed, ident.Server(text))
		case seatSource:
			w.Source = ident.Server(text)
		case seatBackup:
			w.Backup = v != 0
		case seatMark:
			w.Mark = v
		case seatDue:
			w.Due = time.Duration(v)
		case seatWait:
			w.Wait = time.Duration(v)
		}
		return nil
	})
	return a, err
}

func encodeAnswer(a *homes.Answer) []byte {
	b := appendNumber(nil, answerNumber, a.Number)
	b = appendNumber(b, answerState, uint64(a.State))
	if a.Server != "" {
		b = appendString(b, answerServer, string(a.Server))
	}
	if a.Backup != "" {
		b = appendString(b, answerBackup, string(a.Backup))
	}
	b = appendNumber(b, answerAhead, uint64(a.Ahead))
	return appendNumber(b, answerRetry, uint64(a.Retry))
}

func decodeAnswer(b []byte) (*homes.Answer, error) {
	a := &homes.Answer{}
	err := fields(b, func(n protowire.Number, text []byte, v uint64) error {
		switch n {
		case answerNumber:
			a.Number = v
		case answerState:
			a.State = homes.State(min(v, math.MaxUint8))
		case answerServer:
			a.Server = ident.Server(text)
		case answerBackup:
			a.Backup = ident.Server(text)
		case answerAhead:
			a.Ahead = int(v)
		case answerRetry:
			a.Retry = time.Duration(v)
		}
		return nil
	})
	return a, err
}
