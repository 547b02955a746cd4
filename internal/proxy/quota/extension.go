package quota

import "time"

// extension is what messages tell of levels: nodes of the version before read the message
// without it. Each list is in the order of the message's wants or grants.
type extension struct {
	Wants  [][]uint32
	Grants [][]uint32
	Dry    [][]time.Duration
}

// Extension implements codec.Extended.
func (m *Message) Extension() any {
	var told extension
	levelled := false
	if m.Request != nil {
		for i := range m.Request.Wants {
			levels := m.Request.Wants[i].Levels
			levelled = levelled || len(levels) > 0
			told.Wants = append(told.Wants, levels)
		}
	}
	if m.Reply != nil {
		for i := range m.Reply.Grants {
			granted := &m.Reply.Grants[i]
			levelled = levelled || len(granted.Levels) > 0 || len(granted.LevelsDry) > 0
			told.Grants = append(told.Grants, granted.Levels)
			told.Dry = append(told.Dry, granted.LevelsDry)
		}
	}
	if !levelled {
		return nil
	}
	return &told
}

// Extend implements codec.Extended.
func (m *Message) Extend(decode func(extension any) error) error {
	var told extension
	if err := decode(&told); err != nil {
		return err
	}
	if m.Request != nil {
		for i := range min(len(m.Request.Wants), len(told.Wants)) {
			m.Request.Wants[i].Levels = told.Wants[i]
		}
	}
	if m.Reply != nil {
		for i := range min(len(m.Reply.Grants), len(told.Grants), len(told.Dry)) {
			m.Reply.Grants[i].Levels, m.Reply.Grants[i].LevelsDry = told.Grants[i], told.Dry[i]
		}
	}
	return nil
}
