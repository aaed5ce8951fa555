package peers

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// maxMessageBytes limits the size of a message, both on the wire and after
	// decompression. The largest messages carry a snapshot of the store.
	maxMessageBytes = 16 << 20
	// frameHeaderBytes is the size of the length prefix of a message. compressedFlag,
	// its highest bit, marks a compressed message.
	frameHeaderBytes = 4
	compressedFlag   = 1 << 31
	// minCompressBytes is the size of the smallest frame that is compressed. Large
	// messages carry configurations, whose JSON shrinks several times.
	minCompressBytes = 16 << 10
)

var errMessageTooLarge = errors.New("message is too large")

// flateWriters pools *flate.Writer, whose allocation is large.
var flateWriters sync.Pool

// writeMessage writes a message with its length prefix, compressed if it is large.
func writeMessage(w io.Writer, m *Message) error {
	frame := bytes.NewBuffer(make([]byte, frameHeaderBytes))
	encoder := msgpack.NewEncoder(frame)
	encoder.UseCompactInts(true)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(m); err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	header := uint32(0)
	if frame.Len() >= minCompressBytes {
		var err error
		if frame, err = compress(frame.Bytes()[frameHeaderBytes:]); err != nil {
			return fmt.Errorf("compress message: %w", err)
		}
		header = compressedFlag
	}
	binary.BigEndian.PutUint32(frame.Bytes(), header|uint32(frame.Len()-frameHeaderBytes))
	_, err := w.Write(frame.Bytes())
	return err
}

// compress returns a frame with the compressed body and an unset header.
func compress(body []byte) (*bytes.Buffer, error) {
	frame := bytes.NewBuffer(make([]byte, frameHeaderBytes))
	writer, ok := flateWriters.Get().(*flate.Writer)
	if !ok {
		var err error
		if writer, err = flate.NewWriter(nil, flate.BestSpeed); err != nil {
			return nil, err
		}
	}
	defer flateWriters.Put(writer)
	writer.Reset(frame)
	if _, err := writer.Write(body); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return frame, nil
}

// readMessage reads and decodes one message. It fails with errMessageTooLarge when the
// message exceeds maxMessageBytes before or after decompression.
func readMessage(r *bufio.Reader) (*Message, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	compressed := size&compressedFlag != 0
	size &^= compressedFlag
	if size > maxMessageBytes {
		return nil, errMessageTooLarge
	}
	// The buffer grows with what arrives: a header alone does not take memory.
	var frame bytes.Buffer
	if _, err := io.CopyN(&frame, r, int64(size)); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return decodeBody(frame.Bytes(), compressed)
}

// unpacking limits the memory of messages that are being unpacked, which may take a thousand
// times their length, to that of one message.
var unpacking sync.Mutex

func decodeBody(body []byte, compressed bool) (*Message, error) {
	if compressed {
		unpacking.Lock()
		defer unpacking.Unlock()
		var err error
		if body, err = decompress(body); err != nil {
			return nil, fmt.Errorf("decompress message: %w", err)
		}
	}
	m := &Message{}
	if err := msgpack.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("decode message: %w", err)
	}
	return m, nil
}

func decompress(body []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(body))
	plain, err := io.ReadAll(io.LimitReader(reader, maxMessageBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxMessageBytes {
		return nil, errMessageTooLarge
	}
	return plain, nil
}
