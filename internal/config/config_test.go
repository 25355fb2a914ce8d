package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"tillerusher/internal/fake"
)

// configText returns a configuration file's text with one field replaced, or removed if the value is nil.
func configText(t *testing.T, field string, value any) []byte {
	c := map[string]any{"name": "n3", "listen": "10.0.0.4:4100", "vm": "10.1.0.1:9300", "announce": "10.2.0.1:8761",
		"seed": "8c1f30d27a5be964", "stop_ms": 3200, "settings": json.RawMessage(fake.SiteSettings),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}}
	if c[field] = value; value == nil {
		delete(c, field)
	}
	b, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestLoad checks that Load reads the file at RELAY_CONFIG and that the other environment variables override its fields.
func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, configText(t, "more", "unknown keys are ignored"), 0o600); err != nil {
		t.Fatal(err)
	}
	env := map[string]string{"RELAY_CONFIG": path}
	c, err := Load(func(name string) string { return env[name] })
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Listen.String() != "10.0.0.4:4100" || c.Interpreter.String() != "10.1.0.1:9300" ||
		c.LoadReports.String() != "10.2.0.1:8761" || c.StopTimeout != 3200*time.Millisecond ||
		c.Limits != (Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}) || len(c.Settings.ClassNames) != 2 {
		t.Errorf("configuration %+v", c)
	}
	env["RELAY_NAME"], env["RELAY_LISTEN"] = "n4", "10.0.0.5:4100"
	if c, err = Load(func(name string) string { return env[name] }); err != nil || c.Name != "n4" || c.Listen.String() != "10.0.0.5:4100" {
		t.Errorf("configuration with overrides: %+v, error %v", c, err)
	}
	for _, wrongPath := range []string{"", path + ".missing"} {
		env["RELAY_CONFIG"] = wrongPath
		if _, err := Load(func(name string) string { return env[name] }); err == nil || !strings.Contains(err.Error(), "RELAY_CONFIG") {
			t.Errorf("RELAY_CONFIG %q: error %v, want one with RELAY_CONFIG", wrongPath, err)
		}
	}
}

// TestFieldErrors checks that each error names the invalid field.
func TestFieldErrors(t *testing.T) {
	limits := func(cores, memory, sockets any) any {
		return map[string]any{"cores": cores, "memory_mb": memory, "sockets": sockets}
	}
	for _, c := range []struct {
		field string
		value any
		want  string
	}{
		{"name", nil, "name"}, {"name", "two words", "name"}, {"name", "line\nbreak", "name"},
		{"listen", "localhost:4100", "listen"}, {"vm", "10.1.0.1", "vm"}, {"announce", nil, "announce"},
		{"stop_ms", 0, "stop_ms"}, {"stop_ms", -5, "stop_ms"}, {"stop_ms", "soon", "stop_ms"},
		{"limits", nil, "limits.cores"}, {"limits", limits(0, 192, 1024), "limits.cores"},
		{"limits", limits(1, 0, 1024), "limits.memory_mb"}, {"limits", limits(1, 192, 3), "limits.sockets"},
		{"settings", nil, "settings"}, {"settings", []int{1}, "settings"},
		{"settings", json.RawMessage(strings.Replace(fake.SiteSettings, "part-lookup", "stock-reserve", 1)), "lanes"},
		{"settings", json.RawMessage(strings.Replace(fake.SiteSettings, `"central"`, `""`, 1)), "realms"},
	} {
		if _, err := parsePlatform(configText(t, c.field, c.value), "", ""); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s %v: error %v, want one with %q", c.field, c.value, err, c.want)
		}
	}
	if _, err := parsePlatform(configText(t, "name", "n3"), "", "nowhere"); err == nil || !strings.Contains(err.Error(), "RELAY_LISTEN") {
		t.Errorf("invalid address in RELAY_LISTEN: error %v", err)
	}
	if _, err := parsePlatform([]byte("{"), "", ""); err == nil {
		t.Error("invalid JSON was accepted")
	}
}

// TestNumberFormats checks that limits are accepted in every format that JSON has for numbers. A valid deployment must not
// be rejected because a limit is a fraction.
func TestNumberFormats(t *testing.T) {
	c, err := parsePlatform(configText(t, "limits", map[string]any{"cores": 0.0625, "memory_mb": 38.4, "sockets": json.RawMessage("5.12e2")}), "", "")
	if err != nil || c.Limits != (Limits{Cores: 0.0625, MemoryMB: 38, Sockets: 512}) {
		t.Errorf("configuration %+v, error %v", c, err)
	}
}
