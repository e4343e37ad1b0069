package cell

// Charts returns the package's charts as alternating names and text drawings.
func Charts() []string {
	return []string{
		"job", jobChart.Draw(), "task", taskChart.Draw(), "worker", workerChart.Draw(), "health", healthChart.Draw(),
	}
}
