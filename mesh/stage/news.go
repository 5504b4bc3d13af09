package stage

import (
	"os"
	"time"

	"github.com/go-kit/log/level"

	"cedararch/mesh/callboard"
	"cedararch/mesh/callboy"
	"cedararch/mesh/greenroom"
	"cedararch/mesh/lines"
	"cedararch/mesh/playbill"
	"cedararch/mesh/script"
)

const (
	// stale is the age of what a parent last confirmed at which another is looked for.
	stale = 1100 * time.Millisecond
	// keepEvery is how often the parent hears that this sidecar lives.
	keepEvery = 700 * time.Millisecond
	// dialPatience bounds the wait for a connection to a parent, and redial the pause before the next.
	dialPatience = 500 * time.Millisecond
	redial       = 60 * time.Millisecond
	// reread is how often the settings file is looked at, of whose change nobody may tell.
	reread = 2 * time.Second
	// memory is how long a machine that counts as lost is kept.
	memory = 10 * time.Minute
)

// Events of the one goroutine.
type (
	changed struct{} // what is known of the server beside
	ended   struct{} // this sidecar ends
	dialled struct {
		conn *callboy.Conn
		err  error
	}
	framed struct {
		conn  *callboy.Conn
		frame *script.FrameT
	}
	parted struct{ conn *callboy.Conn }
)

// parent is whom this sidecar hears news from.
type parent struct {
	conn     *callboy.Conn
	addr     string
	dialling bool
	since    time.Duration // the connection, or the attempt
	again    time.Duration // not before
	keepAt   time.Duration
	tried    map[string]time.Duration // when each was last turned to in vain
	read     int64                    // bytes that have come on it, as of readAt
	readAt   time.Duration
	heard    bool // news came on this connection
}

// Frame implements callboy.Handler.
func (s *Stage) Frame(c *callboy.Conn, f *script.FrameT) { s.post(framed{c, f}) }

// Gone implements callboy.Handler.
func (s *Stage) Gone(c *callboy.Conn) { s.post(parted{c}) }

// loop owns the wanted state until the stage ends.
func (s *Stage) loop(reloads <-chan os.Signal) {
	s.parent.tried = map[string]time.Duration{}
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var readAt time.Duration
	for {
		now := s.now()
		s.seekParent(now)
		s.bringAbout(now)
		select {
		case e := <-s.events:
			s.handle(e)
			for n := len(s.events); n > 0; n-- {
				s.handle(<-s.events)
			}
		case <-ticker.C:
			now = s.now()
			s.inMu.Lock()
			news := s.door.Tick(now)
			s.inMu.Unlock()
			if news {
				s.announce(now)
			}
			if now >= readAt {
				readAt = now + reread
				s.reload()
			}
		case <-reloads:
			s.reload()
		case <-s.ctx.Done():
			return
		}
	}
}

// reload reads the settings again. What is wrong with them leaves the old ones in force.
func (s *Stage) reload() {
	next, err := greenroom.Load(s.path)
	if err != nil {
		level.Warn(s.log).Log("msg", "the settings cannot be used, and the old ones hold", "error", err)
		return
	}
	before := s.settings.Load()
	s.settings.Store(next)
	if next.Line != before.Line {
		s.line.Store(&next.Line)
	}
}

func (s *Stage) handle(e any) {
	now := s.now()
	switch e := e.(type) {
	case changed:
		s.announce(now)
	case ended:
		s.announce(now)
	case dialled:
		s.parent.dialling = false
		if e.err != nil {
			s.parent.tried[s.parent.addr] = now
			s.parent.again = now + redial
			return
		}
		s.parent.conn, s.parent.since, s.parent.keepAt, s.parent.heard = e.conn, now, now+keepEvery, false
		s.parent.read, s.parent.readAt = 0, now
		f := &script.FrameT{Kind: script.Join, From: s.own.Node, Edition: s.desk.Edition}
		if s.own.Seq > 1 {
			f.Entries = []*script.EntryT{s.ownEntry(now)}
		}
		e.conn.Send(f)
	case parted:
		if s.parent.conn == e.conn {
			s.parent.conn = nil
			s.parent.again = now + redial
			if !s.parent.heard {
				s.parent.tried[s.parent.addr] = now
			}
		}
	case framed:
		if e.conn == s.parent.conn && e.frame.Kind == script.News {
			s.takeNews(e.frame, now)
		}
	}
}

// announce tells the parent what has changed beside this sidecar.
func (s *Stage) announce(now time.Duration) {
	s.own.Seq++
	s.inMu.Lock()
	s.door.Fill(&s.own)
	s.inMu.Unlock()
	if s.own.Line == "" {
		s.own.Line = *s.line.Load()
	}
	if s.ending.Load() && s.own.State == callboard.Accepting {
		s.own.State = callboard.Closing
	}
	s.own.Heard = now
	s.desk.Board.Merge(s.own, now)
	if c := s.parent.conn; c != nil && s.ready.Load() {
		c.Send(&script.FrameT{Kind: script.Keep, From: s.own.Node, Entries: []*script.EntryT{s.ownEntry(now)}})
		s.parent.keepAt = now + keepEvery
	}
}

func (s *Stage) ownEntry(now time.Duration) *script.EntryT {
	e := s.own
	e.Heard = now
	return lines.Entry(&e, now)
}

// seekParent turns to another parent when the present one has nothing fresh to say, and keeps this one told.
func (s *Stage) seekParent(now time.Duration) {
	p := &s.parent
	if p.conn != nil {
		if at := p.conn.Read(); at != p.read { // something comes, and may be long
			p.read, p.readAt = at, now
		}
		if now-s.desk.AsOf > stale && now-p.since > stale && (now-p.readAt > stale || now-s.desk.AsOf > 3*stale) {
			level.Info(s.log).Log("msg", "the parent has nothing fresh", "parent", p.addr, "age", now-s.desk.AsOf)
			p.tried[p.addr] = now
			p.conn.Close()
			p.conn = nil
			p.again = now
		} else if now >= p.keepAt && s.ready.Load() {
			p.keepAt = now + keepEvery
			e := s.own
			e.Heard = now
			p.conn.Send(&script.FrameT{Kind: script.Keep, From: e.Node, Entries: []*script.EntryT{lines.Alive(&e, now)}})
		}
	}
	if p.conn != nil || p.dialling || now < p.again {
		return
	}
	p.addr = s.nextParent()
	p.dialling, p.since = true, now
	addr := p.addr
	go func() {
		c, err := callboy.Dial(s.ctx, addr, dialPatience, s)
		s.post(dialled{c, err})
	}()
}

// nextParent is whom to turn to: of the core machines the one in vain turned to longest ago, one of the own zone first.
func (s *Stage) nextParent() string {
	settings := s.settings.Load()
	best, score := "", time.Duration(1<<62)
	consider := func(addr, zone string) {
		at, was := s.parent.tried[addr]
		if !was {
			at = -time.Hour
			if zone == settings.Zone {
				at -= time.Hour
			}
			at -= time.Duration(seedOf(settings.NodeName+addr) % uint64(time.Minute))
		}
		if at < score {
			best, score = addr, at
		}
	}
	known := map[string]bool{}
	for _, m := range s.desk.Machines {
		known[m.Addr] = true
		consider(m.Addr, m.Zone)
	}
	for _, addr := range settings.Seeds() {
		if !known[addr] {
			consider(addr, "")
		}
	}
	return best
}

// takeNews replaces what is wanted by what the parent says.
func (s *Stage) takeNews(f *script.FrameT, now time.Duration) {
	s.parent.heard = true
	for _, t := range f.Entries {
		e, whole := lines.EntryOf(t, now)
		if !whole {
			continue
		}
		if e.Node == s.own.Node {
			s.meetSelf(&e, now)
			continue
		}
		s.desk.Board.Tell(e, now)
	}
	if len(f.Machines) > 0 {
		s.desk.Machines = lines.MachinesOf(f.Machines, now)
	}
	var body []byte
	if f.Value != nil {
		body = f.Value.Body
	}
	s.desk.Config(f.Edition, body, lines.AsOf(f, now))
	if !s.ready.Load() && s.desk.Edition > 0 && s.desk.AsOf >= 0 {
		if s.bringBill() {
			s.bringAbout(now)
			s.ready.Store(true)
			level.Info(s.log).Log("msg", "ready", "edition", s.desk.Edition, "machines", s.desk.Board.Len())
			s.announce(now)
		}
	}
}

// meetSelf takes in what is known of this machine from an earlier life of its sidecar.
func (s *Stage) meetSelf(e *callboard.Entry, now time.Duration) {
	if e.Life < s.own.Life {
		s.inMu.Lock()
		s.door.Recall(now, e)
		s.inMu.Unlock()
		return
	}
	if e.Life > s.own.Life { // the time of day was set back
		s.own.Life = e.Life + 1
		s.inMu.Lock()
		s.door.Recall(now, e)
		s.inMu.Unlock()
		s.announce(now)
	}
}

// bringBill takes up the configuration that is wanted, if it is another than the one in force. It reports whether one is in force.
func (s *Stage) bringBill() bool {
	bill := s.bill.Load()
	if s.desk.Edition == 0 || bill != nil && bill.Edition >= s.desk.Edition {
		return bill != nil
	}
	next, err := playbill.ParsePacked(s.desk.Body)
	if err != nil { // the core has checked it: an older one stays in force
		level.Error(s.log).Log("msg", "a configuration cannot be used", "edition", s.desk.Edition, "error", err)
		return bill != nil
	}
	services := make(map[string]*service, len(next.Fleets))
	for name := range next.Fleets {
		if s.made[name] == nil {
			s.made[name] = s.newService(name)
			s.dirty = true
		}
		services[name] = s.made[name]
	}
	s.services.Store(&services)
	s.bill.Store(next)
	return true
}

// bringAbout brings the exchanges to what is wanted.
func (s *Stage) bringAbout(now time.Duration) {
	s.bringBill()
	if rev := s.desk.Board.Rev(); rev != s.boardAt || s.dirty {
		s.boardAt, s.dirty = rev, false
		all := s.desk.Board.All()
		for _, svc := range s.made {
			svc.follow(all, now)
		}
	}
}
