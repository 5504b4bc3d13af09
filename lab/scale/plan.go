package scale

import (
	"fmt"
	"time"

	"firplank/mesh/config"
)

// Plan describes the runs of a measurement.
type Plan struct {
	Sizes          []int         `json:"sizes"` // hollow and real sidecars together
	Repeats        int           `json:"repeats"`
	Control        int           `json:"control"`  // real control machines
	Real           int           `json:"real"`     // real sidecars
	Zones          int           `json:"zones"`    // across which the sidecars are spread evenly
	Services       int           `json:"services"` // of the configuration, across which the sidecars are spread as well
	Routes         int           `json:"routes"`   // of each service
	StartsPerS     float64       `json:"perS"`     // sidecars started per second
	Settle         time.Duration `json:"settle"`   // from when all are ready to the quiet phase
	Quiet          time.Duration `json:"quiet"`
	Changes        int           `json:"changes"`
	ChangeInterval time.Duration `json:"every"` // between changes
	RestartShare   float64       `json:"restart"`
	RestartPeriod  time.Duration `json:"after"` // measured from the restart
	Target         int           `json:"target"`
	MaxRSS         int64         `json:"mostRSSBytes"` // limit of all processes together; a run that exceeds it is aborted
	Net            int           `json:"-"`
	Folder         string        `json:"-"`
	Programs       string        `json:"-"` // folder of the programs firplank-proxy and firplank-control
	Lab            string        `json:"-"` // path of firplank-lab
}

// groupSize is the maximum number of hollow sidecars in a process.
const groupSize = 250

const (
	firstEdition   = 1
	peerPort       = 7320
	listenerHost   = 200
	firstHollowNet = 16 // first value of the third octet of hollow sidecars' addresses
	maxSize        = 10000
)

// Check returns an error if the plan cannot be run.
func (p *Plan) Check() error {
	switch {
	case len(p.Sizes) == 0 || p.Repeats < 1:
		return fmt.Errorf("plan: no sizes or no repeats")
	case p.Control < 3 || p.Control > 18:
		return fmt.Errorf("plan: %d control machines, want 3 to 18", p.Control)
	case p.Zones < 1 || p.Services < 1 || p.Routes < 1 || p.Changes < 1 || p.Quiet < time.Second || p.ChangeInterval <= 0:
		return fmt.Errorf("plan: zones, services, routes, changes and change interval must be above 0, quiet time at least 1 s")
	case p.Real < 1 || p.Real > 100:
		return fmt.Errorf("plan: %d real sidecars, want 1 to 100", p.Real)
	}
	for _, n := range p.Sizes {
		if n <= p.Real || n > maxSize {
			return fmt.Errorf("plan: %d sidecars, want more than the %d real ones and at most %d", n, p.Real, maxSize)
		}
	}
	return nil
}

func (p *Plan) zone(i int) string    { return fmt.Sprintf("zone-%d", i%p.Zones) }
func (p *Plan) service(i int) string { return fmt.Sprintf("service-%03d", i%p.Services) }

func (p *Plan) control(i int) string { return fmt.Sprintf("127.%d.0.%d:%d", p.Net, i+1, peerPort) }

// seeds returns the addresses of the control machines that sidecars are started with.
func (p *Plan) seeds() []string { return []string{p.control(0), p.control(1), p.control(2)} }

// hollows returns the hollow sidecars of a run with the given number of sidecars.
func (p *Plan) hollows(size int) []Spec {
	all := make([]Spec, size-p.Real)
	for i := range all {
		ip := fmt.Sprintf("127.%d.%d.%d", p.Net, firstHollowNet+i/200, 1+i%200)
		all[i] = Spec{
			Node:     fmt.Sprintf("hollow-%06d", i),
			IP:       ip,
			Zone:     p.zone(i),
			Service:  p.service(i),
			PeerAddr: fmt.Sprintf("%s:%d", ip, peerPort),
			Seeds:    p.seeds(),
		}
	}
	return all
}

// document returns a configuration of the plan's size. Each edition changes the time-outs of the routes of another service.
func (p *Plan) document(edition uint32) config.Document {
	d := config.Document{Version: fmt.Sprintf("%08x", edition)}
	for i := range p.Services {
		name := p.service(i)
		d.Services = append(d.Services, config.Service{Name: name, HealthPath: "/health", MaxConns: 100})
		g := config.VirtualHost{Host: name + ".example"}
		for j := range p.Routes {
			r := config.RouteSpec{
				Name: fmt.Sprintf("%s-%d", name, j), Kind: config.Safe, LatencyTargetS: 0.3, Precedence: j % 3,
				Match:  config.PathMatch{Prefix: fmt.Sprintf("/part-%d-%d/", i*7919%1000, j)},
				Action: config.RouteAction{Service: name, TimeoutS: 1.2, MaxAttempts: 2},
			}
			if i == int(edition)%p.Services {
				r.Action.TimeoutS = 1 + float64(edition%100)/100
			}
			g.Routes = append(g.Routes, r)
		}
		d.VirtualHosts = append(d.VirtualHosts, g)
	}
	return d
}
