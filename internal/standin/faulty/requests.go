package faulty

// request is a message to the fabric's task.
type request interface{ serve(f *Fabric) }

type (
	// faultChange edits the faults.
	faultChange struct {
		edit  func(*Fabric)
		reply chan<- struct{}
	}
	// dialRequest asks for permission to connect to an address. The reply comes
	// once no fault prevents it.
	dialRequest struct {
		process Process
		address string
		reply   chan<- struct{}
	}
	// cancelDial withdraws a dialRequest.
	cancelDial struct{ dial *dialRequest }
	// registerConn adds one end of a connection. The reply comes when its gates
	// are set.
	registerConn struct {
		conn     *conn
		key      string
		accepted bool
		reply    chan<- struct{}
	}
	// unregisterConn removes one end of a connection.
	unregisterConn struct {
		conn *conn
		key  string
	}
	// registerListener adds a listener.
	registerListener struct {
		listener *listener
		address  string
		reply    chan<- struct{}
	}
	// unregisterListener removes a listener.
	unregisterListener struct {
		listener *listener
		address  string
	}
)

func (c *faultChange) serve(f *Fabric) {
	c.edit(f)
	for _, p := range f.pairs {
		f.applyFaults(p)
	}
	for _, l := range f.listeners {
		l.gate.set(condition{hold: f.paused[l.process.Name]})
	}
	for d := range f.waiting {
		if f.mayConnect(d) {
			delete(f.waiting, d)
			d.reply <- struct{}{}
		}
	}
	c.reply <- struct{}{}
}

func (d *dialRequest) serve(f *Fabric) {
	if f.mayConnect(d) {
		d.reply <- struct{}{}
		return
	}
	f.waiting[d] = struct{}{}
}

// mayConnect is false while a packet of the TCP handshake would be lost.
func (f *Fabric) mayConnect(d *dialRequest) bool {
	if f.paused[d.process.Name] {
		return false
	}
	target, ok := f.listeners[d.address]
	return !ok || !f.isPartitioned(d.process, target.process) && !f.isPartitioned(target.process, d.process)
}

func (c *cancelDial) serve(f *Fabric) { delete(f.waiting, c.dial) }

func (o *registerConn) serve(f *Fabric) {
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
	f.applyFaults(p)
	o.reply <- struct{}{}
}

func (e *unregisterConn) serve(f *Fabric) { f.removeConn(e.key, e.conn) }

func (l *registerListener) serve(f *Fabric) {
	f.listeners[l.address] = l.listener
	l.listener.gate.set(condition{hold: f.paused[l.listener.process.Name]})
	l.reply <- struct{}{}
}

func (s *unregisterListener) serve(f *Fabric) {
	if f.listeners[s.address] == s.listener {
		delete(f.listeners, s.address)
	}
}
