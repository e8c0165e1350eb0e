package config

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"github.com/valyala/fastjson"
)

// Deploy is what the project's own file under deploy/ says: the second front, the store and the inventory. All of it
// may be absent; then it is off.
type Deploy struct {
	SIPUDP, SIPTCP string // where the SIP front listens
	DefaultClass   string // of a SIP caller that names none
	StoreNode      string
	StoreListen    string
	StorePeers     []StorePeer
	Inventory      string // file of servers
}

// StorePeer is one member of the store's group.
type StorePeer struct{ Node, Address string }

// LoadDeploy reads the file. One that does not exist turns everything off.
func LoadDeploy(file string) (*Deploy, error) {
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return &Deploy{}, nil
	}
	if err != nil {
		return nil, &Error{file, "", "can't be read: " + err.Error()}
	}
	d, err := parseDeploy(text)
	if e, ok := err.(*Error); ok {
		e.File = file
	}
	return d, err
}

func parseDeploy(text []byte) (*Deploy, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, &Error{"", "", "not JSON: " + err.Error()}
	}
	if v.Type() != fastjson.TypeObject {
		return nil, &Error{"", "", "not a JSON object"}
	}
	var fault error
	get := func(v *fastjson.Value, prefix string, keys ...string) string {
		v = v.Get(keys...)
		if v == nil || v.Type() == fastjson.TypeNull {
			return ""
		}
		if v.Type() != fastjson.TypeString && fault == nil {
			for i, k := range keys {
				if i > 0 {
					prefix += "."
				}
				prefix += k
			}
			fault = &Error{"", prefix, "not a string"}
		}
		return string(v.GetStringBytes())
	}
	d := &Deploy{SIPUDP: get(v, "", "sip", "udp"), SIPTCP: get(v, "", "sip", "tcp"),
		DefaultClass: get(v, "", "sip", "default_class"), StoreNode: get(v, "", "store", "node"),
		StoreListen: get(v, "", "store", "listen"), Inventory: get(v, "", "inventory")}
	for i, p := range v.GetArray("store", "peers") {
		prefix := fmt.Sprintf("store.peers[%d].", i)
		peer := StorePeer{get(p, prefix, "node"), get(p, prefix, "address")}
		if peer.Node == "" || peer.Address == "" {
			return nil, &Error{"", prefix[:len(prefix)-1], "node or address is missing"}
		}
		d.StorePeers = append(d.StorePeers, peer)
	}
	if len(d.StorePeers) > 0 && d.StoreListen == "" && fault == nil {
		fault = &Error{"", "store.listen", "missing beside peers"}
	}
	return d, fault
}
