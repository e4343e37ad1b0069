package conf

// Charts returns the package's charts as alternating names and text drawings.
func Charts() []string { return []string{"key", keyChart.Draw(), "rules", versionChart.Draw()} }
