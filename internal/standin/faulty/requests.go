package faulty

// request is a message to the fabric's task.
type request interface{ serve(f *Fabric) }

type (
	// faultChange edits the faults.
	faultChange struct {
		edit  func(*Fabric)
		reply chan<- struct{}
	}
	// attempt asks whether a process may connect to an address now. The answer
	// comes when no fault prevents it.
	attempt struct {
		process Process
		address string
		reply   chan<- struct{}
	}
	// giveUp takes an attempt back.
	giveUp struct{ attempt *attempt }
	// opened registers a connection; the reply comes when its gates are set.
	opened struct {
		conn     *conn
		key      string
		accepted bool
		reply    chan<- struct{}
	}
	// ended takes a connection out.
	ended struct {
		conn *conn
		key  string
	}
	// listening registers a listener.
	listening struct {
		listener *listener
		address  string
		reply    chan<- struct{}
	}
	// stopped takes a listener out.
	stopped struct {
		listener *listener
		address  string
	}
)

func (c *faultChange) serve(f *Fabric) {
	c.edit(f)
	for _, p := range f.pairs {
		f.refresh(p)
	}
	for _, l := range f.listeners {
		l.gate.set(condition{hold: f.paused[l.process.Name]})
	}
	for a := range f.waiting {
		if f.mayConnect(a) {
			delete(f.waiting, a)
			a.reply <- struct{}{}
		}
	}
	c.reply <- struct{}{}
}

func (a *attempt) serve(f *Fabric) {
	if f.mayConnect(a) {
		a.reply <- struct{}{}
		return
	}
	f.waiting[a] = struct{}{}
}

// mayConnect is false while a packet of the TCP handshake would be lost.
func (f *Fabric) mayConnect(a *attempt) bool {
	if f.paused[a.process.Name] {
		return false
	}
	target, ok := f.listeners[a.address]
	return !ok || !f.isCut(a.process, target.process) && !f.isCut(target.process, a.process)
}

func (g *giveUp) serve(f *Fabric) { delete(f.waiting, g.attempt) }

func (o *opened) serve(f *Fabric) {
	p := f.pairs[o.key]
	if p == nil {
		p = &pair{}
		f.pairs[o.key] = p
	}
	if o.accepted {
		p.accepted = o.conn
	} else {
		p.dialed = o.conn
	}
	f.refresh(p)
	o.reply <- struct{}{}
}

func (e *ended) serve(f *Fabric) { f.drop(e.key, e.conn) }

func (l *listening) serve(f *Fabric) {
	f.listeners[l.address] = l.listener
	l.listener.gate.set(condition{hold: f.paused[l.listener.process.Name]})
	l.reply <- struct{}{}
}

func (s *stopped) serve(f *Fabric) {
	if f.listeners[s.address] == s.listener {
		delete(f.listeners, s.address)
	}
}
