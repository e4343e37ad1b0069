package member

// Charts returns the name of each chart, followed by its drawing as text.
func Charts() []string { return []string{"session", sessionChart.Draw(), "cell", cellChart.Draw()} }
