package scale

import (
	"fmt"
	"time"

	"firplank/mesh/config"
)

// Plan describes the runs of a measurement.
type Plan struct {
	Sizes          []int         `json:"sizes"` // sidecars, hollow and true together
	Repeats        int           `json:"repeats"`
	Control        int           `json:"control"`  // true control machines
	Real           int           `json:"real"`     // true sidecars
	Zones          int           `json:"zones"`    // over which the sidecars are spread evenly
	Services       int           `json:"services"` // of the configuration, over which they are spread, too
	Routes         int           `json:"routes"`   // of each service
	StartsPerS     float64       `json:"perS"`     // sidecars that start a second
	Settle         time.Duration `json:"settle"`   // from all ready to the quiet time
	Quiet          time.Duration `json:"quiet"`
	Changes        int           `json:"changes"`
	ChangeInterval time.Duration `json:"every"` // from a change to the next
	RestartShare   float64       `json:"restart"`
	RestartPeriod  time.Duration `json:"after"` // the restart, that is counted in
	Target         int           `json:"target"`
	MaxRSS         int64         `json:"mostRSSBytes"` // of all processes together; a run beyond it ends
	Net            int           `json:"-"`
	Folder         string        `json:"-"`
	Programs       string        `json:"-"` // folder of firplank-proxy and firplank-control
	Lab            string        `json:"-"` // firplank-lab
}

// groupSize is how many hollow sidecars share a process.
const groupSize = 250

const (
	firstEdition   = 1
	peerPort       = 7320
	listenerHost   = 200
	firstHollowNet = 16 // the third number of hollow sidecars' addresses begins here
	maxSize        = 10000
)

// Check reports what cannot be run.
func (p *Plan) Check() error {
	switch {
	case len(p.Sizes) == 0 || p.Repeats < 1:
		return fmt.Errorf("plan: no sizes, or no runs of them")
	case p.Control < 3 || p.Control > 18:
		return fmt.Errorf("plan: %d control machines; 3 to 18 can be run", p.Control)
	case p.Zones < 1 || p.Services < 1 || p.Routes < 1 || p.Changes < 1 || p.Quiet < time.Second || p.ChangeInterval <= 0:
		return fmt.Errorf("plan: zones, services, routes, changes and times have to be above 0")
	case p.Real < 1 || p.Real > 100:
		return fmt.Errorf("plan: %d true sidecars; 1 to 100 can be run", p.Real)
	}
	for _, n := range p.Sizes {
		if n <= p.Real || n > maxSize {
			return fmt.Errorf("plan: %d sidecars with %d true ones; up to %d can be run", n, p.Real, maxSize)
		}
	}
	return nil
}

func (p *Plan) zone(i int) string    { return fmt.Sprintf("zone-%d", i%p.Zones) }
func (p *Plan) service(i int) string { return fmt.Sprintf("service-%03d", i%p.Services) }

func (p *Plan) control(i int) string { return fmt.Sprintf("127.%d.0.%d:%d", p.Net, i+1, peerPort) }

// seeds are the control machines that sidecars begin with.
func (p *Plan) seeds() []string { return []string{p.control(0), p.control(1), p.control(2)} }

// hollows are the hollow sidecars of a run of a size.
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

// document is a configuration of the plan's size; with each edition another route's deadline changes.
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
