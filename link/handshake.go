package link

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"
)

const nonceBytes = 32

// HMAC labels. They differ so that the proof of one side cannot be replayed as the
// proof of the other.
const (
	labelClient = "hyssoploom link client"
	labelServer = "hyssoploom link server"
)

// handshake is the state of one side during connection setup. The order of the
// frames is: client hello, server hello and proof, client proof, server accept.
type handshake struct {
	nc         net.Conn
	key        []byte
	r          *frameReader
	w          *frameWriter
	localHello []byte // body of the sent hello frame
	peerHello  []byte // body of the received hello frame
}

func newHandshake(nc net.Conn, key []byte, timeout time.Duration) (*handshake, error) {
	if err := nc.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	h := &handshake{nc: nc, key: key, r: newFrameReader(nc), w: newFrameWriter()}
	h.r.max = maxHandshakeFrameBytes
	return h, nil
}

// finish removes the handshake's frame size limit and deadline.
func (h *handshake) finish() (*frameReader, error) {
	h.r.max = MaxFrameBytes
	return h.r, h.nc.SetDeadline(time.Time{})
}

func (h *handshake) appendHello(hello Hello, dial uint64) error {
	var nonce [nonceBytes]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return err
	}
	h.w.begin(kindHello, 4)
	h.w.uint(uint64(hello.Protocol))
	h.w.value(&hello)
	h.w.bin(nonce[:])
	h.w.uint(dial)
	if err := h.w.end(); err != nil {
		return err
	}
	h.localHello = slices.Clone(h.w.body())
	return nil
}

func (h *handshake) appendProof(label string, client, server []byte) {
	h.w.begin(kindProof, 1)
	h.w.bin(h.proof(label, client, server))
	h.w.setErr(h.w.end())
}

func (h *handshake) proof(label string, client, server []byte) []byte {
	m := hmac.New(sha256.New, h.key)
	m.Write([]byte(label))
	m.Write(client)
	m.Write(server)
	return m.Sum(nil)
}

func (h *handshake) flush() error {
	_, err := h.nc.Write(h.w.buf)
	h.w.buf = h.w.buf[:0]
	return err
}

func (h *handshake) read(kind frameKind) (*frame, error) {
	var f frame
	if err := h.r.next(&f); err != nil {
		return nil, err
	}
	if f.kind == kindReject {
		return nil, &HandshakeError{Code: HandshakeCode(f.code), Detail: f.message, Remote: true}
	}
	if f.kind != kind {
		return nil, &ProtocolError{Reason: fmt.Sprintf("frame of kind %d during the handshake, want %d", f.kind, kind)}
	}
	return &f, nil
}

// readHello reads the peer's hello and checks its protocol version.
func (h *handshake) readHello(protocol int) (*frame, error) {
	f, err := h.read(kindHello)
	if err != nil {
		return nil, err
	}
	h.peerHello = slices.Clone(h.r.body)
	if f.protocol != uint64(protocol) {
		return nil, &HandshakeError{Code: HandshakeVersionMismatch,
			Detail: fmt.Sprintf("peer %q has version %d, this process has %d", f.hello.Name, f.protocol, protocol)}
	}
	if len(f.data) != nonceBytes || f.hello.BootID == "" {
		return nil, &ProtocolError{Reason: "hello without nonce or boot id"}
	}
	return f, nil
}

func (h *handshake) readProof(label, name string, client, server []byte) error {
	f, err := h.read(kindProof)
	if err != nil {
		return err
	}
	if !hmac.Equal(f.data, h.proof(label, client, server)) {
		return &HandshakeError{Code: HandshakeKeyMismatch, Detail: fmt.Sprintf("peer %q has another fleet key", name)}
	}
	return nil
}

// reject reports a locally detected HandshakeError to the peer. It returns err.
func (h *handshake) reject(err error) error {
	var handshakeErr *HandshakeError
	if errors.As(err, &handshakeErr) && !handshakeErr.Remote {
		h.w.buf = h.w.buf[:0]
		h.w.begin(kindReject, 2)
		h.w.str(string(handshakeErr.Code))
		h.w.str(handshakeErr.Detail)
		if h.w.end() == nil {
			_ = h.flush() // the connection is closed next
		}
	}
	return err
}

// connect performs the client side, including receipt of the accept frame.
func (h *handshake) connect(hello Hello, dial uint64, expectedPeer string) (Hello, *frame, error) {
	if err := h.appendHello(hello, dial); err != nil {
		return Hello{}, nil, err
	}
	if err := h.flush(); err != nil {
		return Hello{}, nil, err
	}
	f, err := h.readHello(hello.Protocol)
	if err != nil {
		return Hello{}, nil, h.reject(err)
	}
	peer := f.hello
	if err := h.readProof(labelServer, peer.Name, h.localHello, h.peerHello); err != nil {
		return peer, nil, h.reject(err)
	}
	if expectedPeer != "" && peer.Name != expectedPeer {
		return peer, nil, h.reject(&HandshakeError{Code: HandshakeNameMismatch,
			Detail: fmt.Sprintf("peer is %q, expected %q", peer.Name, expectedPeer)})
	}
	h.appendProof(labelClient, h.localHello, h.peerHello)
	if err := h.flush(); err != nil {
		return peer, nil, err
	}
	accept, err := h.read(kindAccept)
	return peer, accept, err
}

// accept performs the server side up to, but not including, the accept frame. It
// returns the peer's hello and dial number.
func (h *handshake) accept(hello Hello) (Hello, uint64, error) {
	f, err := h.readHello(hello.Protocol)
	if err != nil {
		return Hello{}, 0, h.reject(err)
	}
	peer, dial := f.hello, f.seq
	if err := h.appendHello(hello, 0); err != nil {
		return peer, 0, err
	}
	h.appendProof(labelServer, h.peerHello, h.localHello)
	if err := h.flush(); err != nil {
		return peer, 0, err
	}
	if err := h.readProof(labelClient, peer.Name, h.peerHello, h.localHello); err != nil {
		return peer, 0, h.reject(err)
	}
	return peer, dial, nil
}

// sendAccept completes the server side.
func (h *handshake) sendAccept(session string, hb Heartbeat) error {
	h.w.begin(kindAccept, 2)
	h.w.str(session)
	h.w.value(&hb)
	if err := h.w.end(); err != nil {
		return err
	}
	return h.flush()
}
