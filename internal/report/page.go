package report

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
)

// Page is a report in one file: its pictures are inside it.
type Page struct {
	Title    string
	Lead     string
	Sections []Section
}

// Section is a part of a page.
type Section struct {
	Title  string
	Text   string
	Head   []string // of the table
	Rows   [][]string
	Charts []Chart
}

const pageTemplate = `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}</style></head><body>
<h1>{{.Title}}</h1><p>{{.Lead}}</p>
{{range .Sections}}<h2>{{.Title}}</h2>{{with .Text}}<p>{{.}}</p>{{end}}
{{if .Head}}<table><tr>{{range .Head}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>{{end}}
{{range .Pictures}}<figure>{{.}}</figure>
{{end}}{{end}}</body></html>
`

// renderedSection is a section with its pictures made.
type renderedSection struct {
	Section
	Pictures []template.HTML
}

// HTML writes the page.
func (p Page) HTML(w io.Writer) error {
	t, err := template.New("page").Parse(pageTemplate)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	data := struct {
		Title, Lead string
		Sections    []renderedSection
	}{Title: p.Title, Lead: p.Lead}
	for _, s := range p.Sections {
		d := renderedSection{Section: s}
		for _, c := range s.Charts {
			var b bytes.Buffer
			if err := c.SVG(&b); err != nil {
				return err
			}
			svg := b.Bytes()
			if i := bytes.Index(svg, []byte("<svg")); i >= 0 {
				svg = svg[i:] // without the prolog, which a page can't hold
			}
			d.Pictures = append(d.Pictures, template.HTML(svg))
		}
		data.Sections = append(data.Sections, d)
	}
	if err := t.Execute(w, data); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}
