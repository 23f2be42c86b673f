package report

import (
	"cmp"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/valyala/fastjson"
)

// WriteTable prints a status that Encode returned as tables.
func WriteTable(w io.Writer, status *fastjson.Value) error {
	p := &printer{w: w}
	p.printf("VM %s in %s, settings version %d\n", status.GetStringBytes("vm"), status.GetStringBytes("failure-domain"), status.GetUint64("settings-version"))
	for _, s := range status.GetArray("services") {
		p.service(s)
	}
	p.leftOut("", status, "services")
	return trace.Wrap(p.err)
}

// printer prints until the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *printer) service(s *fastjson.Value) {
	p.printf("\nservice %s: %s\n", s.GetStringBytes("service"), coordinator(s))
	p.list(s, "workspaces", "WORKSPACE\tWAITING\tGRANTED SHARE\tDUE SHARE\tLIMITED", func(e *fastjson.Value) string {
		return fmt.Sprintf("%s\t%d\t%s\t%s\t%s", e.GetStringBytes("workspace"), e.GetInt("waiting"), percent(e, "granted-share"), percent(e, "due-share"), yes(e, "limited"))
	})
	balance := func(e *fastjson.Value) string {
		return fmt.Sprintf("%s\t%s\t%s", e.GetStringBytes("workspace"), percent(e, "granted-share"), percent(e, "due-share"))
	}
	p.list(s, "borrowed", "BORROWED BY\tGRANTED SHARE\tDUE SHARE", balance)
	p.list(s, "lent", "LENT BY\tGRANTED SHARE\tDUE SHARE", balance)
	p.list(s, "engines", "ENGINE\tPER TOKEN\tMEDIAN\tSLOW", func(e *fastjson.Value) string {
		return fmt.Sprintf("%s\t%s\t%s\t%s", e.GetStringBytes("server"), text(e, "per-token"), text(s, "median-per-token"), yes(e, "slow"))
	})
	p.list(s, "plain-servers", "PLAIN SERVER\tRESPONSE TIME\tMEDIAN\tWEIGHT\tIN FLIGHT\tSLOW", func(e *fastjson.Value) string {
		return fmt.Sprintf("%s\t%s\t%s\t%.2f\t%d\t%s", e.GetStringBytes("server"), text(e, "mean-response-time"), text(s, "median-response-time"),
			e.GetFloat64("weight"), e.GetInt("in-flight"), yes(e, "slow"))
	})
}

// coordinator returns which VM coordinates a service, and how many runs wait at the VM of the
// status.
func coordinator(s *fastjson.Value) string {
	out := "no coordinator known"
	switch name := s.GetStringBytes("coordinator"); {
	case s.GetBool("coordinates"):
		out = "coordinated by this VM"
	case len(name) > 0:
		out = fmt.Sprintf("coordinated by %s", name)
	}
	if s.Exists("waiting") {
		out += fmt.Sprintf(", waiting here: %d", s.GetInt("waiting"))
	}
	return out
}

// list prints the entries of a list as a table, if there are any.
func (p *printer) list(s *fastjson.Value, name, header string, row func(*fastjson.Value) string) {
	entries := s.GetArray(name)
	if len(entries) == 0 || p.err != nil {
		return
	}
	t := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', 0)
	_, p.err = fmt.Fprintf(t, "  %s\n", header)
	for _, e := range entries {
		if p.err == nil {
			_, p.err = fmt.Fprintf(t, "  %s\n", row(e))
		}
	}
	p.err = cmp.Or(p.err, t.Flush())
	p.leftOut("  ", s, name)
}

// leftOut prints how many entries a list lacks.
func (p *printer) leftOut(indent string, o *fastjson.Value, name string) {
	if n := o.GetInt(name + leftOut); n > 0 {
		p.printf("%sand %d more\n", indent, n)
	}
}

func percent(o *fastjson.Value, name string) string {
	return fmt.Sprintf("%.1f%%", 100*o.GetFloat64(name))
}

// text returns a member, or a dash if it is not known.
func text(o *fastjson.Value, name string) string {
	return cmp.Or(string(o.GetStringBytes(name)), "-")
}

func yes(o *fastjson.Value, name string) string {
	if o.GetBool(name) {
		return "yes"
	}
	return "no"
}
