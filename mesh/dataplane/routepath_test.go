package dataplane

import (
	"fmt"
	"testing"

	"firplank/internal/core"
	httpfront "firplank/internal/front/http"
	"firplank/mesh/config"
)

// An encoded slash in the path must not select the route of another prefix, by which a request that is not idempotent might run twice.
func TestEncodedSlashDoesNotChangeRoute(t *testing.T) {
	route := func(name, kind, prefix string) string {
		return fmt.Sprintf(`{"name":%q,"routeKind":%q,"targetS":1,"precedence":1,"sorting":{"lanePrefix":%q},
			"dispatch":{"line":"one","deadlineS":2,"attempts":2}}`, name, kind, prefix)
	}
	c, err := config.Parse([]byte(`{"edition":"00000001","gates":[{"depot":"h","regulations":[` +
		route("file", "unsafe", "/transfers/") + "," + route("check", "safe", "/transfers/kushiro/") + "," +
		route("tax", "safe", "/tax%20status/") +
		`]}],"fleets":[{"name":"one"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{}
	service := "one"
	p.serviceName.Store(&service)
	p.cfg.Store(c)
	for _, request := range []struct {
		target, decoded string
		safe            bool
	}{
		{"/transfers/kushiro%2F12", "/transfers/kushiro/12", false},
		{"/transfers/kushiro/12", "/transfers/kushiro/12", true},
		{"/transfers/1?of=/transfers/kushiro/", "/transfers/1", false},
		{"/tax%20status/7", "/tax status/7", true},
	} {
		r := &httpfront.Request{Host: "h", Method: "POST", Target: request.target, Path: request.decoded, Header: header()}
		call := &core.Call{}
		if answer, err := (incomingDialect{config: &p.cfg, service: &p.serviceName}).Fill(call, r, nil); answer != nil || err != nil {
			t.Fatalf("%s: %v, %v", request.target, answer, err)
		}
		if call.Message.Safe != request.safe {
			t.Errorf("%s is idempotent: %v", request.target, call.Message.Safe)
		}
		if route := c.Match("h", routePath(r)); route == nil || route.Idempotent() != request.safe {
			t.Errorf("%s is routed to %+v", request.target, route)
		}
	}
}
