package link

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"net/http"
	"reflect"
	"testing"

	"hyssoploom/internal/fakenet"
)

// sampleFrames returns encoded frames of almost all kinds.
func sampleFrames() *frameWriter {
	w := newFrameWriter()
	add := func(kind frameKind, fields int, encode func()) {
		w.begin(kind, fields)
		encode()
		w.mustEnd()
	}
	stream := func(kind frameKind, fields int, encode func()) {
		w.beginStream(kind, streamKey{"r1", 3}, fields)
		encode()
		w.mustEnd()
	}
	request := Request{Kind: KindService, RequestID: "r1", Attempt: 3, Header: http.Header{"A": {"b", "c"}}, Deadline: -1}
	end := End{Complete: true, Header: http.Header{"X": nil}, Charge: []byte{1}, Frames: 9, Checksum: 1 << 63}
	add(kindHello, 4, func() { w.uint(1); w.value(&Hello{Name: "entry-1", BootID: "e1"}); w.bin(make([]byte, 32)); w.uint(1) })
	add(kindProof, 1, func() { w.bin(make([]byte, 32)) })
	add(kindAccept, 2, func() { w.str("session"); w.value(&Heartbeat{Load: benchLoad()}) })
	add(kindReject, 2, func() { w.str("code"); w.str("message") })
	stream(kindOpen, 5, func() { w.uint(0); w.uint(1 << 16); w.uint(4); w.value(&request); w.bin([]byte("body")) })
	stream(kindOpen, 5, func() { w.uint(7); w.uint(1); w.uint(0); w.value(nil); w.bin(nil) })
	stream(kindBodyPart, 2, func() { w.uint(4); w.bin([]byte("body")) })
	stream(kindPayload, 2, func() { w.uint(1 << 40); w.bin([]byte("payload")) })
	stream(kindEnd, 2, func() { w.uint(9); w.value(&end) })
	stream(kindRefusal, 2, func() { w.uint(0); w.value(&Refusal{Code: "full"}) })
	stream(kindAck, 1, func() { w.uint(5) })
	stream(kindCancel, 0, func() {})
	add(kindControl, 1, func() { w.value(&Control{Kind: "records", Body: []byte{0}}) })
	add(kindPing, 1, func() { w.uint(1) })
	add(kindDrain, 0, func() {})
	return w
}

// Guards against frames that decode to values other than those encoded, and against
// rejecting fields that later versions append.
func TestFramesRoundTrip(t *testing.T) {
	w, r := sampleFrames(), newFrameReader(nil)
	raw := newFrameReader(bytes.NewReader(w.buf))
	frames := map[frameKind]frame{}
	for range 15 {
		var f frame
		if err := raw.next(&f); err != nil {
			t.Fatal(err)
		}
		frames[f.kind] = f
		longer := bytes.Clone(raw.body)
		longer[0]++ // one additional field
		var g frame
		if err := r.decode(append(longer, 0x2a), &g); err != nil || !reflect.DeepEqual(f, g) {
			t.Errorf("with an additional field: %+v, %v, want %+v", g, err, f)
		}
	}
	f := frames[kindPayload]
	if string(f.id) != "r1" || f.attempt != 3 || f.seq != 1<<40 || string(f.data) != "payload" {
		t.Errorf("payload frame %+v", f)
	}
	if f := frames[kindEnd]; f.end.Checksum != 1<<63 || f.end.Frames != 9 {
		t.Errorf("end frame %+v", f)
	}
	if f := frames[kindOpen]; f.request != nil || f.seq != 7 {
		t.Errorf("open frame of a resumed stream %+v", f)
	}
}

// FuzzFrame guards against panics and unbounded memory use on arbitrary input, and
// against errors other than *ProtocolError.
func FuzzFrame(f *testing.F) {
	samples := bufio.NewReader(bytes.NewReader(sampleFrames().buf))
	for raw, err := fakenet.ReadFrame(samples); err == nil; raw, err = fakenet.ReadFrame(samples) {
		f.Add(raw)
		f.Add(raw[:len(raw)-1])
	}
	f.Add([]byte{0x7f, 0xff, 0xff, 0xff})                                           // length over the limit
	f.Add([]byte{0, 0, 0, 0})                                                       // empty body
	f.Add([]byte{0, 0, 0, 5, 0xdd, 0xff, 0xff, 0xff, 0xff})                         // array of 2^32-1 fields
	f.Add([]byte{0, 0, 0, 9, 0x95, 8, 0xa1, 'r', 0, 0, 0xc6, 0x7f, 0xff})           // payload longer than the frame
	f.Add(append([]byte{0, 0, 1, 0, 0x92, 15}, bytes.Repeat([]byte{0x91}, 254)...)) // deep nesting
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newFrameReader(bytes.NewReader(data))
		var got frame
		err := r.next(&got)
		if len(data) < frameHeaderBytes || int(binary.BigEndian.Uint32(data)) > len(data)-frameHeaderBytes {
			if err == nil {
				t.Fatal("a truncated frame was accepted")
			}
			return
		}
		var protocol *ProtocolError
		if err != nil && !errors.As(err, &protocol) {
			t.Fatalf("error is not a *ProtocolError: %v", err)
		}
		if err == nil && got.kind.hasStreamKey() && len(got.data) > len(data) {
			t.Fatal("data is longer than the frame")
		}
	})
}
