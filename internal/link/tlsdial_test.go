package link_test

import "crypto/tls"

// tlsDial returns the connection state after one handshake.
func tlsDial(address string, config *tls.Config) (tls.ConnectionState, error) {
	c, err := tls.Dial("tcp", address, config)
	if err != nil {
		return tls.ConnectionState{}, err
	}
	defer c.Close()
	return c.ConnectionState(), nil
}
