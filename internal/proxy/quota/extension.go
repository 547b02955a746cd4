package quota

import "time"

// extension holds the levels of a message; nodes of the previous version do not read it. Each
// list is in the order of the message's wants or grants.
type extension struct {
	Wants      [][]uint32
	Grants     [][]uint32
	RetryAfter [][]time.Duration
}

// Extension implements codec.Extended.
func (m *Message) Extension() any {
	var ext extension
	hasLevels := false
	if m.Request != nil {
		for i := range m.Request.Wants {
			levels := m.Request.Wants[i].Levels
			hasLevels = hasLevels || len(levels) > 0
			ext.Wants = append(ext.Wants, levels)
		}
	}
	if m.Reply != nil {
		for i := range m.Reply.Grants {
			grant := &m.Reply.Grants[i]
			hasLevels = hasLevels || len(grant.Levels) > 0 || len(grant.LevelsRetryAfter) > 0
			ext.Grants = append(ext.Grants, grant.Levels)
			ext.RetryAfter = append(ext.RetryAfter, grant.LevelsRetryAfter)
		}
	}
	if !hasLevels {
		return nil
	}
	return &ext
}

// Extend implements codec.Extended.
func (m *Message) Extend(decode func(extension any) error) error {
	var ext extension
	if err := decode(&ext); err != nil {
		return err
	}
	if m.Request != nil {
		for i := range min(len(m.Request.Wants), len(ext.Wants)) {
			m.Request.Wants[i].Levels = ext.Wants[i]
		}
	}
	if m.Reply != nil {
		for i := range min(len(m.Reply.Grants), len(ext.Grants), len(ext.RetryAfter)) {
			m.Reply.Grants[i].Levels, m.Reply.Grants[i].LevelsRetryAfter = ext.Grants[i], ext.RetryAfter[i]
		}
	}
	return nil
}
