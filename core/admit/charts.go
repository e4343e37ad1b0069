package admit

// Charts returns the name of each chart, followed by its drawing as text.
func Charts() []string {
	return []string{"request", requestChart.Draw(), "target", targetChart.Draw()}
}
