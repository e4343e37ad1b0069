package logbuf

import (
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Field is a field of a line.
type Field struct {
	key, text string
	number    uint64
	isNumber  bool
	// zero is the zero value of the field's own type, which hooks see. Unlike the value itself it
	// takes no allocation.
	zero any
}

// Text returns a field that holds a text.
func Text[S ~string](key string, value S) Field {
	return Field{key: key, text: string(value), zero: S("")}
}

// Number returns a field that holds a number that is not negative.
func Number[N ~uint64 | ~int](key string, value N) Field {
	return Field{key: key, number: uint64(value), isNumber: true, zero: N(0)}
}

// value returns the value of the field in its own type.
func (f Field) value() any {
	own := reflect.TypeOf(f.zero)
	if f.isNumber {
		return reflect.ValueOf(f.number).Convert(own).Interface()
	}
	return reflect.ValueOf(f.text).Convert(own).Interface()
}

// lineBytes is the capacity, in bytes, that a buffer for a line begins with.
const lineBytes = 512

var lineBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, lineBytes)
	return &b
}}

// Info logs a line with fields as log.WithFields(fields).Info(msg) does, without a map, if the log
// goes to a Writer in the form of a Formatter and has no hooks, and the fields are in the order of
// their keys.
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

// ownFields are the fields that each line has, but for their values, in the order of their keys.
var ownFields = [...]Field{{key: logrus.FieldKeyLevel, text: logrus.InfoLevel.String()}, {key: logrus.FieldKeyMsg}, {key: logrus.FieldKeyTime}}

// maxLogFields is how many fields a log has without an allocation for the sorted ones.
const maxLogFields = 4

// appendLine appends a line. It reports false if the fields are not in the order of their keys, or
// if those of the log are no texts or have a key of others.
func appendLine(line []byte, log *logrus.Entry, msg string, fields []Field) ([]byte, bool) {
	var array [len(ownFields) + maxLogFields]Field
	common := append(array[:0], ownFields[:]...)
	for key, value := range log.Data {
		text, ok := value.(string)
		if !ok || key == logrus.FieldKeyLogrusError {
			return line, false
		}
		i, found := slices.BinarySearchFunc(common, key, func(f Field, key string) int { return strings.Compare(f.key, key) })
		if found {
			return line, false
		}
		common = slices.Insert(common, i, Field{key: key, text: text})
	}
	at := log.Time
	if at.IsZero() {
		at = time.Now()
	}
	last := ""
	for separator := byte('{'); len(common)+len(fields) > 0; separator = ',' {
		from := &common
		if len(common) == 0 || len(fields) > 0 && fields[0].key < common[0].key {
			from = &fields
		}
		f := (*from)[0]
		*from = (*from)[1:]
		if separator == ',' && f.key <= last {
			return line, false
		}
		last = f.key
		line = append(appendString(append(line, separator), f.key), ':')
		switch {
		case f.isNumber:
			line = strconv.AppendUint(line, f.number, 10)
		case f.key == logrus.FieldKeyTime:
			line = append(at.AppendFormat(append(line, '"'), timeLayout), '"')
		case f.key == logrus.FieldKeyMsg:
			line = appendString(line, msg)
		default:
			line = appendString(line, f.text)
		}
	}
	return append(line, '}', '\n'), true
}
