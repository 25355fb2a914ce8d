package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestOperatorConfig checks that all fields of (capture ...) are read, and that deploy/settings.sexp is valid.
func TestOperatorConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.sexp")
	text := "(capture (directory \"/x\") (segment 16MiB) (age 30s) (keep 1GB) (memory 2MiB) (flush 1s))"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	o, err := LoadOperatorConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	if c := o.Capture; c.Directory != "/x" || c.SegmentBytes != 16<<20 || c.SegmentAge != 30*time.Second || c.MaxBytes != 1e9 ||
		c.BufferBytes != 2<<20 || c.FlushInterval != time.Second {
		t.Errorf("capture configuration %+v", c)
	}
	if _, err := LoadOperatorConfig(path + "x"); err == nil {
		t.Error("a missing file was accepted")
	}
	if o, err := LoadOperatorConfig("../../deploy/settings.sexp"); err != nil || o.Capture != nil {
		t.Errorf("deploy/settings.sexp: %+v, error %v, want no capture", o, err)
	}
}

// TestOperatorErrors checks that each error names the position in the file.
func TestOperatorErrors(t *testing.T) {
	for text, want := range map[string]string{
		"(capture)":                                   "f:1:1: (capture ...) has no (directory ...)",
		"(capture (directory x) (keep 1kB))":          "f:1:1: capture: limit on all segments is 1000 bytes",
		"(capture (directory x) (age 1ms))":           "f:1:29: found 1ms in (age ...), want 1s to 24h",
		"(capture (directory x))(capture (memory 1))": "f:1:24: (capture ...) is given twice",
		"(capure)": "f:1:1: found (capure ...), want capture",
	} {
		if _, err := parseOperatorConfig("f", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q", text, err, want)
		}
	}
}

// FuzzOperatorConfig checks that no text causes a panic, and that an accepted capture configuration is valid.
func FuzzOperatorConfig(f *testing.F) {
	f.Add("(capture (directory \"/x\") (segment 16MiB) (age 30s) (keep 1GB) (memory 2MiB) (flush 1s))")
	f.Add("(capture (directory")
	f.Fuzz(func(t *testing.T, text string) {
		if o, err := parseOperatorConfig("f", []byte(text)); err == nil && o.Capture != nil && o.Capture.Validate() != nil {
			t.Errorf("accepted an invalid capture configuration: %+v", o.Capture)
		}
	})
}
