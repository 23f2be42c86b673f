package report

import (
	"fmt"
	"os"
	"time"

	"github.com/valyala/fastjson"

	"umberladder/internal/policy/pace"
	"umberladder/internal/policy/timing"
	"umberladder/internal/route/coord"
)

func ExampleWriteTable() {
	chat := Service{Name: "chat", Coordinator: "vm-2", Coordinates: true}
	large := coord.Limit{Workspace: "large", Limited: true, Share: 0.8124, Entitled: 0.5, Waiting: 30}
	small := coord.Limit{Workspace: "small", Share: 0.1876, Entitled: 0.5}
	chat.SetQueues(coord.QueueStatus{Waiting: 32, Workspaces: []coord.Limit{large}, Borrowed: []coord.Limit{large}, Lent: []coord.Limit{small}})
	chat.SetEngines([]pace.Speed{{Server: "e-1", PerToken: 7 * time.Millisecond}, {Server: "e-2", PerToken: 11_204 * time.Microsecond, Slow: true}}, 7*time.Millisecond)
	orders := Service{Name: "orders", Coordinator: "vm-1"}
	orders.SetPlainServers([]timing.ServerStatus{
		{Server: "p-1", Mean: 30 * time.Millisecond, Weight: 1, InFlight: 2},
		{Server: "p-2", Mean: 121 * time.Millisecond, Weight: 0.248, Slow: true, InFlight: 9},
		{Server: "p-3", Weight: 1},
	}, 30*time.Millisecond)
	data := Encode(&Status{VM: "vm-2", Domain: "a", SettingsVersion: 37, Services: List[Service]{Entries: []Service{chat, orders, {Name: "unused"}}, LeftOut: 4}})
	fmt.Printf("%s\n", data)
	_ = WriteTable(os.Stdout, fastjson.MustParseBytes(data))
	// Output:
	// {"vm":"vm-2","failure-domain":"a","settings-version":37,"services":[{"service":"chat","coordinator":"vm-2","coordinates":true,"waiting":32,"workspaces":[{"workspace":"large","granted-share":0.812,"due-share":0.5,"waiting":30,"limited":true}],"borrowed":[{"workspace":"large","granted-share":0.812,"due-share":0.5}],"lent":[{"workspace":"small","granted-share":0.188,"due-share":0.5}],"median-per-token":"7ms","engines":[{"server":"e-2","per-token":"11.2ms","slow":true},{"server":"e-1","per-token":"7ms","slow":false}]},{"service":"orders","coordinator":"vm-1","coordinates":false,"median-response-time":"30ms","plain-servers":[{"server":"p-2","mean-response-time":"121ms","weight":0.248,"in-flight":9,"slow":true},{"server":"p-1","mean-response-time":"30ms","weight":1,"in-flight":2,"slow":false},{"server":"p-3","weight":1,"in-flight":0,"slow":false}]},{"service":"unused","coordinates":false}],"services-left-out":4}
	// VM vm-2 in a, settings version 37
	//
	// service chat: coordinated by this VM, waiting here: 32
	//   WORKSPACE  WAITING  GRANTED SHARE  DUE SHARE  LIMITED
	//   large      30       81.2%          50.0%      yes
	//   BORROWED BY  GRANTED SHARE  DUE SHARE
	//   large        81.2%          50.0%
	//   LENT BY  GRANTED SHARE  DUE SHARE
	//   small    18.8%          50.0%
	//   ENGINE  PER TOKEN  MEDIAN  SLOW
	//   e-2     11.2ms     7ms     yes
	//   e-1     7ms        7ms     no
	//
	// service orders: coordinated by vm-1
	//   PLAIN SERVER  RESPONSE TIME  MEDIAN  WEIGHT  IN FLIGHT  SLOW
	//   p-2           121ms          30ms    0.25    9          yes
	//   p-1           30ms           30ms    1.00    2          no
	//   p-3           -              30ms    1.00    0          no
	//
	// service unused: no coordinator known
	// and 4 more
}
