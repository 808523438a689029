package static

// Effective is one setting with its value and where that came from.
type Effective struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Origin Origin `json:"origin"`
}

// Effective lists the settings of the checked sections.
func (l Loaded) Effective() []Effective {
	var rows []Effective
	for _, key := range Keys(l.Sections...) {
		rows = append(rows, Effective{
			Key:    key.Path,
			Value:  Format(key.get(&l.Settings).Interface()),
			Origin: l.Origins[key.Path],
		})
	}
	return rows
}
