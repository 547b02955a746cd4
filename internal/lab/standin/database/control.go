package database

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// serverStatus is the status of a server in the response to GET /status.
type serverStatus struct {
	Address     string `json:"address"`
	Role        string `json:"role"`
	Term        uint64 `json:"term"`
	Received    string `json:"received"`
	Applied     string `json:"applied"`
	Sessions    int    `json:"sessions"`
	WorkStarted int64  `json:"work_started"`
}

// Handler returns the HTTP handler of the control address. It serves
// POST /fault?server=0&kind=cut&on=true&amount=2s, GET /status and GET /log?server=0.
func (g *Group) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", g.serveFault)
	mux.HandleFunc("GET /status", g.serveStatus)
	mux.HandleFunc("GET /log", g.serveLog)
	return mux
}

func (g *Group) serveFault(writer http.ResponseWriter, request *http.Request) {
	values := request.URL.Query()
	index, err := strconv.Atoi(values.Get("server"))
	if values.Get("server") == "primary" {
		index, err = g.Leader(), nil
	}
	if err != nil {
		http.Error(writer, "server must be a number or 'primary'", http.StatusBadRequest)
		return
	}
	amount, err := time.ParseDuration(values.Get("amount"))
	if err != nil && values.Get("amount") != "" {
		http.Error(writer, "amount must be a duration such as 2s", http.StatusBadRequest)
		return
	}
	on := values.Get("on") != "false"
	if err := g.SetFault(index, Fault(values.Get("kind")), on, amount); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	_, _ = writer.Write([]byte(strconv.Itoa(index) + "\n"))
}

func (g *Group) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	var rows []serverStatus
	for _, current := range g.servers {
		report := current.report()
		current.mu.Lock()
		sessions := len(current.sessions)
		current.mu.Unlock()
		rows = append(rows, serverStatus{
			Address: current.address, Role: report.Role.String(), Term: report.Term, Received: report.Received.String(),
			Applied: report.Applied.String(), Sessions: sessions, WorkStarted: current.workStarted.Load(),
		})
	}
	_ = json.NewEncoder(writer).Encode(rows)
}

func (g *Group) serveLog(writer http.ResponseWriter, request *http.Request) {
	index, err := strconv.Atoi(request.URL.Query().Get("server"))
	if err != nil || index < 0 || index >= len(g.servers) {
		http.Error(writer, "server must be a number within the group", http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(writer).Encode(g.Log(index))
}
