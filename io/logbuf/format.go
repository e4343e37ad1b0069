package logbuf

import (
	"bytes"
	"encoding"
	"encoding/json"
	"reflect"
	"slices"
	"strconv"

	"github.com/sirupsen/logrus"
)

// timeLayout is the layout of the time of a line.
const timeLayout = "15:04:05.000"

// maxFields is how many fields a line has without an allocation for its keys.
const maxFields = 16

// Formatter writes a line as logrus.JSONFormatter does, without its map of all fields and its
// reflection on each of them. It leaves lines with a caller or with a field of the name of one of
// its own to that one.
type Formatter struct{ full logrus.JSONFormatter }

// NewFormatter returns a Formatter.
func NewFormatter() *Formatter {
	return &Formatter{logrus.JSONFormatter{TimestampFormat: timeLayout}}
}

// ownKeys are the keys of the fields that each line has.
var ownKeys = [...]string{logrus.FieldKeyTime, logrus.FieldKeyMsg, logrus.FieldKeyLevel}

// Format implements logrus.Formatter. It returns an error if a field has no form in JSON.
func (f *Formatter) Format(e *logrus.Entry) ([]byte, error) {
	if e.Caller != nil {
		return f.full.Format(e)
	}
	keys := append(make([]string, 0, maxFields), ownKeys[:]...)
	for k := range e.Data {
		if slices.Contains(ownKeys[:], k) || k == logrus.FieldKeyLogrusError {
			return f.full.Format(e)
		}
		keys = append(keys, k)
	}
	slices.Sort(keys)
	b := e.Buffer
	if b == nil {
		b = new(bytes.Buffer)
	}
	line := append(b.AvailableBuffer(), '{')
	for i, k := range keys {
		if i > 0 {
			line = append(line, ',')
		}
		line = append(appendString(line, k), ':')
		switch k {
		case logrus.FieldKeyTime:
			line = appendString(line, e.Time.Format(timeLayout))
		case logrus.FieldKeyMsg:
			line = appendString(line, e.Message)
		case logrus.FieldKeyLevel:
			line = appendString(line, e.Level.String())
		default:
			var err error
			if line, err = appendValue(line, e.Data[k]); err != nil {
				return nil, err
			}
		}
	}
	b.Write(append(line, '}', '\n'))
	return b.Bytes(), nil
}

// appendValue appends a value in the form of encoding/json; an error is written as its text.
func appendValue(line []byte, value any) ([]byte, error) {
	switch v := value.(type) {
	case string:
		return appendString(line, v), nil
	case error:
		return appendString(line, v.Error()), nil
	case json.Marshaler, encoding.TextMarshaler:
		return appendJSON(line, v)
	}
	switch v := reflect.ValueOf(value); v.Kind() {
	case reflect.String:
		return appendString(line, v.String()), nil
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return strconv.AppendInt(line, v.Int(), 10), nil
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return strconv.AppendUint(line, v.Uint(), 10), nil
	}
	return appendJSON(line, value)
}

func appendJSON(line []byte, value any) ([]byte, error) {
	text, err := json.Marshal(value)
	return append(line, text...), err
}

// appendString appends a text in the form of encoding/json.
func appendString(line []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			// Marshalling a string can't fail.
			line, _ = appendJSON(line, text)
			return line
		}
	}
	return append(append(append(line, '"'), text...), '"')
}
