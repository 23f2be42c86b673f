package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"umberladder/platform/fake"
	"umberladder/review/rig2"
)

var mu sync.Mutex
var got []string

func rawServer(ln net.Listener, id string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			var all strings.Builder
			r := bufio.NewReader(io.TeeReader(c, &all))
			aid, n := "", 0
			for {
				l, err := r.ReadString('\n')
				if err != nil {
					return
				}
				k, v, _ := strings.Cut(strings.TrimRight(l, "\r\n"), ":")
				if strings.EqualFold(k, "X-Umberladder-Attempt-Id") {
					aid = strings.TrimSpace(v)
				}
				if strings.EqualFold(k, "Content-Length") {
					fmt.Sscan(v, &n)
				}
				if l == "\r\n" {
					break
				}
			}
			io.CopyN(io.Discard, r, int64(n))
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Umberladder-Attempt-Id: %s\r\nX-Umberladder-Response-Signature: of-%s\r\nContent-Length: 2\r\n\r\nok", aid, aid)
			c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			io.Copy(io.Discard, r)
			mu.Lock()
			got = append(got, all.String())
			mu.Unlock()
		}()
	}
}

func main() {
	rec, _ := rig2.NewRecord("/tmp/w")
	f, err := rig2.Start(rec, rig2.Config{VMs: 1, Engines: 1, Plain: 0, Program: "target/umberladder"}, func(s *fake.Store) {
		s.PutSettings(6, []string{"k"}, 0)
		ln, _ := net.Listen("tcp", "127.0.0.1:0")
		go rawServer(ln, "raw-1")
		s.Put("servers/raw-1", fmt.Appendf(nil, `{"service":"plain","address":%q,"zone":"a","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"sequence":1}`, ln.Addr().String()))
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	defer f.Stop()
	base := "Host: soak.example\r\nX-Umberladder-Attempt-Id: ID\r\nX-Umberladder-Deadline-Ms: 2000\r\nAuthorization: Bearer k\r\n"
	inner := "POST /once/inner HTTP/1.1\r\n" + strings.ReplaceAll(base, "ID", "inner") + "Content-Length: 0\r\n\r\n"
	data, _ := os.ReadFile(os.Args[1])
	for n, t := range strings.Split(string(data), "\n====\n") {
		t = strings.ReplaceAll(strings.ReplaceAll(t, "\n", "\r\n"), "<LF>\r\n", "\n")
		t = strings.NewReplacer("BASE\r\n", base, "INNER", inner, "<CR>", "\r", "<NUL>", "\x00", "<VT>", "\x0b", "<TAB>", "\t", "<NL>", "\n").Replace(t)
		got = nil
		c, err := net.Dial("tcp", f.VMs[0].Clients)
		if err != nil {
			fmt.Println(err)
			return
		}
		io.WriteString(c, t)
		c.SetReadDeadline(time.Now().Add(400 * time.Millisecond))
		b, _ := io.ReadAll(c)
		c.Close()
		time.Sleep(150 * time.Millisecond)
		line, _, _ := strings.Cut(string(b), "\r\n")
		fmt.Printf("--- %d %.60q -> %s (%d answers) runs=%d\n", n, strings.ReplaceAll(t, base, ""), line, strings.Count(string(b), "HTTP/1.1 "), len(got))
		for _, g := range got {
			fmt.Printf("   %q\n", strings.ReplaceAll(g, "Host: soak.example\r\n", ""))
		}
	}
}
