package crashcause

import (
	"container/list"
	"time"
)

// soundParts holds when an answer last showed a part to be sound, for the most recent maxSound
// parts.
type soundParts struct {
	byPart map[uint64]*list.Element
	order  *list.List // of soundPart, the most recent first
}

type soundPart struct {
	part uint64
	at   time.Time
}

func newSoundParts() *soundParts {
	return &soundParts{byPart: make(map[uint64]*list.Element), order: list.New()}
}

// record records that an answer shows a part to be sound.
func (s *soundParts) record(now time.Time, part uint64) {
	if e := s.byPart[part]; e != nil {
		e.Value = soundPart{part, now}
		s.order.MoveToFront(e)
		return
	}
	s.byPart[part] = s.order.PushFront(soundPart{part, now})
	if s.order.Len() > maxSound {
		oldest := s.order.Remove(s.order.Back()).(soundPart)
		delete(s.byPart, oldest.part)
	}
}

// lastAnswer returns when an answer last showed a part to be sound, the zero time if none is
// known.
func (s *soundParts) lastAnswer(part uint64) time.Time {
	if e := s.byPart[part]; e != nil {
		return e.Value.(soundPart).at
	}
	return time.Time{}
}
