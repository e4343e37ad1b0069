package logbuf

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Field is a field of a line.
type Field struct {
	key, text string
	number    uint64
	isNumber  bool
}

// Text returns a field that holds a text.
func Text[S ~string](key string, value S) Field { return Field{key: key, text: string(value)} }

// Number returns a field that holds a number.
func Number[N ~uint64 | ~int](key string, value N) Field {
	return Field{key: key, number: uint64(value), isNumber: true}
}

// value returns what the field holds.
func (f Field) value() any {
	if f.isNumber {
		return f.number
	}
	return f.text
}

// lineBytes is the capacity, in bytes, that a buffer for a line begins with.
const lineBytes = 512

var lineBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, lineBytes)
	return &b
}}

// Info logs a line with fields as log.WithFields(fields).Info(msg) does, without a map, if the log
// goes to a Writer in the form of a Formatter and has no hooks. The keys differ from those that each
// line has.
func Info(log *logrus.Entry, msg string, fields ...Field) {
	l := log.Logger
	if !l.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	w, toWriter := l.Out.(*Writer)
	_, isJSON := l.Formatter.(*Formatter)
	if !toWriter || !isJSON || l.ReportCaller || len(l.Hooks[logrus.InfoLevel]) > 0 {
		logMap(log, msg, fields)
		return
	}
	buf := lineBuffers.Get().(*[]byte)
	defer lineBuffers.Put(buf)
	line, ok := appendLine((*buf)[:0], log, msg, fields)
	if !ok {
		logMap(log, msg, fields)
		return
	}
	*buf = line
	// A Writer returns no error.
	_, _ = w.Write(line)
}

// logMap logs a line by way of logrus.
func logMap(log *logrus.Entry, msg string, fields []Field) {
	all := make(logrus.Fields, len(fields))
	for _, f := range fields {
		all[f.key] = f.value()
	}
	log.WithFields(all).Info(msg)
}

// appendLine appends a line with the fields of the log and its own. It reports false if those of the
// log are no texts or have a key that each line has, or more than one has the same key.
func appendLine(line []byte, log *logrus.Entry, msg string, fields []Field) ([]byte, bool) {
	var array [maxFields]Field
	all := append(append(array[:0], fields...), Field{key: logrus.FieldKeyMsg, text: msg}, Field{key: logrus.FieldKeyLevel, text: logrus.InfoLevel.String()}, Field{key: logrus.FieldKeyTime})
	for key, value := range log.Data {
		text, ok := value.(string)
		if !ok || key == logrus.FieldKeyLogrusError {
			return line, false
		}
		all = append(all, Field{key: key, text: text})
	}
	slices.SortFunc(all, func(a, b Field) int { return cmp.Compare(a.key, b.key) })
	at := log.Time
	if at.IsZero() {
		at = time.Now()
	}
	for i, f := range all {
		separator := byte(',')
		if i == 0 {
			separator = '{'
		} else if all[i-1].key == f.key {
			return line, false
		}
		line = append(appendString(append(line, separator), f.key), ':')
		switch {
		case f.key == logrus.FieldKeyTime:
			line = append(at.AppendFormat(append(line, '"'), timeLayout), '"')
		case f.isNumber:
			line = strconv.AppendUint(line, f.number, 10)
		default:
			line = appendString(line, f.text)
		}
	}
	return append(line, '}', '\n'), true
}
