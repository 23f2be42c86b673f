package report

import (
	"math"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/oper"
	"umberladder/internal/policy/pace"
	"umberladder/internal/policy/timing"
	"umberladder/internal/route/coord"
)

// durationUnit is the unit that durations are rounded to.
const durationUnit = 10 * time.Microsecond

// Encode returns the status as JSON. Members that are not known are left out; durations are
// strings like those of the log, and shares and weights are numbers in thousandths.
func Encode(s *Status) []byte {
	e := &encoder{}
	o := e.NewObject()
	o.Set("vm", e.NewString(string(s.VM)))
	o.Set("failure-domain", e.NewString(string(s.Domain)))
	o.Set("settings-version", oper.JSONUint(&e.Arena, s.SettingsVersion))
	setList(e, o, "services", s.Services, e.service)
	return o.MarshalTo(nil)
}

type encoder struct{ fastjson.Arena }

func (e *encoder) service(s Service) *fastjson.Value {
	o := e.NewObject()
	o.Set("service", e.NewString(string(s.Name)))
	if s.Coordinator != "" {
		o.Set("coordinator", e.NewString(string(s.Coordinator)))
	}
	o.Set("coordinates", oper.JSONBool(&e.Arena, s.Coordinates))
	if s.Coordinates || s.Waiting > 0 {
		o.Set("waiting", e.NewNumberInt(s.Waiting))
		setList(e, o, "workspaces", s.Workspaces, e.workspace)
		setList(e, o, "borrowed", s.Borrowed, e.balance)
		setList(e, o, "lent", s.Lent, e.balance)
	}
	if len(s.Engines.Entries) > 0 {
		e.setDuration(o, "median-per-token", s.MedianPerToken)
		setList(e, o, "engines", s.Engines, e.engine)
	}
	if len(s.PlainServers.Entries) > 0 {
		e.setDuration(o, "median-response-time", s.MedianResponse)
		setList(e, o, "plain-servers", s.PlainServers, e.plainServer)
	}
	return o
}

func (e *encoder) workspace(l coord.Limit) *fastjson.Value {
	o := e.balance(l)
	o.Set("waiting", e.NewNumberInt(l.Waiting))
	o.Set("limited", oper.JSONBool(&e.Arena, l.Limited))
	return o
}

func (e *encoder) balance(l coord.Limit) *fastjson.Value {
	o := e.NewObject()
	o.Set("workspace", e.NewString(string(l.Workspace)))
	o.Set("granted-share", e.thousandths(l.Share))
	o.Set("due-share", e.thousandths(l.Entitled))
	return o
}

func (e *encoder) engine(s pace.Speed) *fastjson.Value {
	o := e.server(s.Server)
	e.setDuration(o, "per-token", s.PerToken)
	o.Set("slow", oper.JSONBool(&e.Arena, s.Slow))
	return o
}

func (e *encoder) plainServer(s timing.ServerStatus) *fastjson.Value {
	o := e.server(s.Server)
	e.setDuration(o, "mean-response-time", s.Mean)
	o.Set("weight", e.thousandths(s.Weight))
	o.Set("in-flight", e.NewNumberInt(s.InFlight))
	o.Set("slow", oper.JSONBool(&e.Arena, s.Slow))
	return o
}

func (e *encoder) server(id ident.Server) *fastjson.Value {
	o := e.NewObject()
	o.Set("server", e.NewString(string(id)))
	return o
}

// setDuration sets a member to a duration, unless it is zero.
func (e *encoder) setDuration(o *fastjson.Value, name string, d time.Duration) {
	if d != 0 {
		o.Set(name, e.NewString(d.Round(durationUnit).String()))
	}
}

// thousandths returns a number rounded to three digits after the point.
func (e *encoder) thousandths(f float64) *fastjson.Value {
	return e.NewNumberString(strconv.FormatFloat(math.Round(f*1000)/1000, 'f', -1, 64))
}

// leftOut is the suffix of the member with the number of entries that are not in a list.
const leftOut = "-left-out"

// setList sets a member to a list. A second one has the number of entries that were left out, if
// there are any.
func setList[T any](e *encoder, o *fastjson.Value, name string, list List[T], entry func(T) *fastjson.Value) {
	out := e.NewArray()
	for i, v := range list.Entries {
		out.SetArrayItem(i, entry(v))
	}
	o.Set(name, out)
	if list.LeftOut > 0 {
		o.Set(name+leftOut, e.NewNumberInt(list.LeftOut))
	}
}
