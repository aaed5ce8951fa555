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
	// maxFrame bounds one message in bytes, before compression too; a snapshot of the
	// store is the largest.
	maxFrame = 16 << 20
	// frameHeader is the size in bytes of the length before a message. Its highest bit
	// tells that the message is compressed.
	frameHeader   = 4
	compressedBit = 1 << 31
	// compressFrom is the size in bytes from which messages are compressed: large ones
	// are configurations, whose JSON becomes several times smaller.
	compressFrom = 16 << 10
)

var errTooLarge = errors.New("message is too large")

// compressors holds unused *flate.Writer, which are large.
var compressors sync.Pool

// writeMessage writes a length-prefixed message.
func writeMessage(w io.Writer, m *Message) error {
	frame := bytes.NewBuffer(make([]byte, frameHeader))
	encoder := msgpack.NewEncoder(frame)
	encoder.UseCompactInts(true)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(m); err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	header := uint32(0)
	if frame.Len() >= compressFrom {
		var err error
		if frame, err = compress(frame.Bytes()[frameHeader:]); err != nil {
			return fmt.Errorf("compress message: %w", err)
		}
		header = compressedBit
	}
	binary.BigEndian.PutUint32(frame.Bytes(), header|uint32(frame.Len()-frameHeader))
	_, err := w.Write(frame.Bytes())
	return err
}

// compress returns a frame whose header is still empty.
func compress(body []byte) (*bytes.Buffer, error) {
	frame := bytes.NewBuffer(make([]byte, frameHeader))
	writer, ok := compressors.Get().(*flate.Writer)
	if !ok {
		var err error
		if writer, err = flate.NewWriter(nil, flate.BestSpeed); err != nil {
			return nil, err
		}
	}
	defer compressors.Put(writer)
	writer.Reset(frame)
	if _, err := writer.Write(body); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return frame, nil
}

// readMessage reads one message.
func readMessage(r *bufio.Reader) (*Message, error) {
	var header [frameHeader]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	compressed := size&compressedBit != 0
	size &^= compressedBit
	if size > maxFrame {
		return nil, errTooLarge
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	if compressed {
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
	plain, err := io.ReadAll(io.LimitReader(reader, maxFrame+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxFrame {
		return nil, errTooLarge
	}
	return plain, nil
}
