package catalog

import (
	"cmp"
	"slices"
)

func indexByService(directory map[string]*Server) map[string][]*Server {
	index := map[string][]*Server{}
	for _, server := range directory {
		index[server.Service] = append(index[server.Service], server)
	}
	for _, servers := range index {
		slices.SortFunc(servers, func(first, second *Server) int { return cmp.Compare(first.ID, second.ID) })
	}
	return index
}
