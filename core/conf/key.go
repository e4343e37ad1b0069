package conf

import (
	"crypto/sha256"
	"crypto/subtle"
	_ "embed"
	"encoding/hex"
	"strings"

	"chicoryturn/core"
	"chicoryturn/core/chart"
)

//go:embed key.toml
var keyChartText []byte

var keyChart = chart.Must(chart.Load[*Key](keyChartText, nil, nil))

// Key authorises its bearer to submit work for one team.
type Key struct {
	// ID is the public part of the key; the secret is stored only as a hash.
	ID   string
	Team core.Team
	// Hash is the hexadecimal SHA-256 of the secret.
	Hash  string
	state chart.State
}

// State returns the name of the key's state.
func (k *Key) State() string { return keyChart.Name(k.state) }

func (k *Key) isGranted() bool { return k.state == keyChart.State("granted") }

// HashSecret returns the stored form of a secret. Secrets are long and random,
// so one round of a fast hash is enough.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// SplitKey splits a key of the form ID.SECRET; ok reports whether it has that
// form.
func SplitKey(text string) (id, secret string, ok bool) {
	id, secret, ok = strings.Cut(text, ".")
	return id, secret, ok && id != "" && secret != ""
}

func (k *Key) matchesSecret(secret string) bool {
	return subtle.ConstantTimeCompare([]byte(HashSecret(secret)), []byte(k.Hash)) == 1
}
